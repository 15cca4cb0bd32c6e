"""Fuzz stored answers: a read from any offset returns exactly the answer's bytes."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support import dispatch, fuzz, settings

from hemlockdock_agent.answers import AnswerStore
from hemlockdock_agent.requests import AnswerReader, Run
from hemlockdock_agent.requests.answer_sender import AnswerSender
from hemlockdock_core.messages import AnswerChunk, AnswerEnd, Frame, Refused, Resume

LIMIT_KB = 1
KEEP_MS = 1_000


class AnswersMachine(RuleBasedStateMachine):
    """Write, resume, end and expire answers at random."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.store = AnswerStore(settings(answer_buffer_kb=LIMIT_KB, answer_keep_ms=KEEP_MS))
        self.answer_sender = AnswerSender(
            lambda address, message: self.receive(message), self.store
        )
        self.run_by_id = {}
        self.expected_by_id = {}
        self.read_by_reader = {}
        self.latest_by_id = {}
        self.readers = 0

    def receive(self, message):
        reader = (message.request_id, message.attempt)
        if isinstance(message, AnswerChunk):
            start, read = self.read_by_reader[reader]
            assert message.offset == start + len(read), "a gap or an overlap"
            read += message.data
            expected = self.expected_by_id[message.request_id]
            assert expected[start : start + len(read)] == bytes(read)
        if isinstance(message, AnswerEnd):
            start, read = self.read_by_reader[reader]
            assert message.length == start + len(read) == len(self.expected_by_id[reader[0]])

    def new_reader(self, request_id, offset):
        self.readers += 1
        self.read_by_reader[request_id, self.readers] = (offset, bytearray())
        return self.readers

    @rule()
    def begin(self):
        request_id = f"q{len(self.expected_by_id)}"
        attempt = self.new_reader(request_id, 0)
        self.expected_by_id[request_id] = b""
        self.latest_by_id[request_id] = attempt
        message = dispatch(request_id, attempt, resumable=True)
        run = Run(message, AnswerReader("e", "address", attempt), self.now_ms)
        self.run_by_id[request_id] = run
        self.answer_sender.open(run)
        self.answer_sender.send_head(run, 200, "text/event-stream")

    def pick(self, items, index):
        items = sorted(items)
        return items[index % len(items)] if items else None

    @rule(index=st.integers(0, 9), size=st.sampled_from([1, 7, 100, 300, 600]))
    def write(self, index, size):
        request_id = self.pick(self.run_by_id, index)
        if request_id is None:
            return
        start = len(self.expected_by_id[request_id])
        data = bytes((start + position) % 251 for position in range(size))
        self.expected_by_id[request_id] += data
        self.answer_sender.send_data(self.run_by_id[request_id], data)

    @rule(index=st.integers(0, 9), back=st.integers(0, 700))
    def read_again(self, index, back):
        request_id = self.pick(self.expected_by_id, index)
        if request_id is None:
            return
        offset = max(len(self.expected_by_id[request_id]) - back, 0)
        attempt = self.new_reader(request_id, offset)
        kept = request_id in self.store.buffer_by_id
        run = self.run_by_id.get(request_id)
        resume = Resume(request_id, attempt, offset)
        self.answer_sender.resume(
            resume, run if kept else None, Frame(1, "e2", 1, "address", resume)
        )
        _, read = self.read_by_reader[request_id, attempt]
        if kept:
            self.latest_by_id[request_id] = attempt
            assert offset + len(read) == len(self.expected_by_id[request_id])

    @rule(index=st.integers(0, 9))
    def end(self, index):
        request_id = self.pick(self.run_by_id, index)
        if request_id is None:
            return
        self.answer_sender.send_end(self.run_by_id.pop(request_id), None, self.now_ms)
        start, read = self.read_by_reader[request_id, self.latest_by_id[request_id]]
        assert start + len(read) == len(
            self.expected_by_id[request_id]
        ), "the last reader lacks bytes"

    @rule(duration_ms=st.sampled_from([1, 400, 1_000]))
    def time_passes(self, duration_ms):
        self.now_ms += duration_ms
        self.store.expire(self.now_ms)

    @invariant()
    def memory_is_bounded(self):
        held = sum(buffer.length for buffer in self.store.buffer_by_id.values())
        assert held == self.store.bytes_held <= LIMIT_KB * 1_024


AnswersFuzz = fuzz(AnswersMachine, 150, 60)


class AnswerStoreTest(unittest.TestCase):
    def test_resuming_an_answer_that_is_not_stored_is_refused(self):
        sent = []
        answer_sender = AnswerSender(
            lambda address, message: sent.append(message), AnswerStore(settings())
        )
        resume = Resume("q", 3, 0)
        answer_sender.resume(resume, None, Frame(1, "e", 1, "address", resume))
        self.assertIsInstance(sent[0], Refused)
        self.assertEqual(sent[0].attempt, 3)


if __name__ == "__main__":
    unittest.main()
