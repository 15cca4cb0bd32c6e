"""Test that the log buffer is bounded and drops successes before failures."""

import io
import json
import logging
import os
import unittest

from hemlockdock_core.logs import (
    DROPPED_LINES_MESSAGE,
    MAX_BUFFERED_LINES,
    MAX_ROUTINE_LINES_PER_S,
    BoundedHandler,
)


class MessageAndCountFormatter(logging.Formatter):
    def format(self, record):
        return json.dumps({"message": record.msg, "count": getattr(record, "count", None)})


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0

    def handler(self, stream):
        handler = BoundedHandler(stream, lambda: self.now_s)
        handler.setFormatter(MessageAndCountFormatter())
        return handler

    def record(self, message, outcome=None, level=logging.INFO):
        record = logging.LogRecord("l", level, "", 0, message, None, None)
        if outcome is not None:
            record.outcome = outcome
        return record

    def lines(self, text):
        return [json.loads(line) for line in text.splitlines()]

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        handler = self.handler(stream)
        for number in range(3):
            handler.emit(self.record(str(number)))
        handler.flush()
        self.assertEqual([line["message"] for line in self.lines(stream.getvalue())], list("012"))

    def test_beyond_the_rate_limit_failures_are_kept_and_dropped_lines_are_counted(self):
        stream = io.StringIO()
        handler = self.handler(stream)
        for _ in range(MAX_ROUTINE_LINES_PER_S + 50):
            handler.emit(self.record("good", "answered"))
            handler.emit(self.record("bad", "refused"))
        handler.flush()
        lines = self.lines(stream.getvalue())
        messages = [line["message"] for line in lines]
        self.assertEqual(messages.count("bad"), MAX_ROUTINE_LINES_PER_S + 50)
        self.assertEqual(messages.count("good"), MAX_ROUTINE_LINES_PER_S)
        self.assertEqual((messages[-1], lines[-1]["count"]), (DROPPED_LINES_MESSAGE, 50))

    def test_a_reader_that_does_not_read_blocks_nothing(self):
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        with os.fdopen(write_fd, "w") as stream:
            handler = self.handler(stream)
            for second in range(60):
                self.now_s = float(second)
                for _ in range(200):
                    handler.emit(self.record("x" * 200, "answered"))
                handler.emit(self.record("bad", "refused"))
                handler.flush()
            self.assertLessEqual(len(handler._lines), MAX_BUFFERED_LINES)
            kept = sum(1 for important, _ in handler._lines if important)
            self.assertGreater(kept, 30)
            handler._lines.clear()


if __name__ == "__main__":
    unittest.main()
