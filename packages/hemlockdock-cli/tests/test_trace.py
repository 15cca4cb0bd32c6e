"""Test that the outcome of a request is explained from the logs of many processes."""

import json
import tempfile
import unittest
from pathlib import Path

from hemlockdock_cli.trace import END_NOT_FOUND, trace_lines


def line(second, message, **fields):
    time = f"2026-12-03 10:00:{second:02d},000"
    return json.dumps({"time": time, "level": "INFO", "message": message, **fields})


class TraceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, *lines):
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def test_a_refusal_is_explained_by_the_exchange_of_its_model(self):
        entry = self.write(
            "entry.log",
            "not a line of ours",
            line(
                20,
                "request ended",
                request="r1",
                model="m",
                outcome="deadline_unreachable",
                why="the model can't be loaded in time",
                held_s=2.0,
            ),
        )
        control = self.write(
            "control.log",
            line(17, "exchange decided", change=4, load="m", endpoint="e", source="store"),
            line(18, "exchange decided", change=5, load="other", endpoint="f", source="disk"),
            line(23, "exchange over", change=4, took_s=6.1, outcome="reported"),
        )
        report = trace_lines("r1", [entry, control])
        self.assertEqual(len(report), 4)
        self.assertIn("-1.000 s  control.log  exchange decided", report[0])
        self.assertIn("not run", report[-1])
        self.assertIn("coming to e from store, decided 3.0 s before the end", report[-1])

    def test_an_unknown_outcome_names_the_endpoint(self):
        entry = self.write(
            "entry.log",
            line(1, "try ended", request="r2", endpoint="e9", outcome="unknown", why="lost"),
            line(1, "request ended", request="r2", outcome="endpoint_lost", held_s=0.4),
        )
        cause = trace_lines("r2", [entry])[-1]
        self.assertIn("may have run", cause)
        self.assertIn("e9: unknown (lost)", cause)

    def test_a_request_of_a_killed_process_has_no_end(self):
        entry = self.write("entry.log", line(1, "try ended", request="r3", endpoint="e"))
        self.assertEqual(trace_lines("r3", [entry])[-1], END_NOT_FOUND)

    def test_an_unknown_request_is_reported(self):
        self.assertEqual(
            trace_lines("r4", [self.write("entry.log", line(1, "x"))]), ["no line names request r4"]
        )


if __name__ == "__main__":
    unittest.main()
