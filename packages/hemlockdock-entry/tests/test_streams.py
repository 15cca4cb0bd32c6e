"""Test that streams are complete over links that lose, repeat, reorder or misattribute frames."""

import heapq
import itertools
import random
import unittest

from support import FakeReply, add_replica, coordinator, request, table
from twisted.internet.task import Clock

from hemlockdock_core.messages import AnswerChunk, AnswerEnd, AnswerHead, Cancel, Dispatch, Resume
from hemlockdock_entry.streams import Assembler, AssemblyAction, EventIdInserter, StreamPosition
from hemlockdock_entry.tasks.exchange import Exchange

STREAMS = 200
SEED = 20_261_203
LOSS = 0.05
DUPLICATION = 0.1
MISATTRIBUTION = 0.05
MAX_DELAY_S = 0.3
RUN_TIME_S = 300


class FaultyLink:
    """Simulated link that delays, reorders, duplicates, misattributes and loses frames."""

    def __init__(self, clock, request_coordinator, random_source, loss):
        self.clock = clock
        self.request_coordinator = request_coordinator
        self.random = random_source
        self.loss = loss
        self.body_by_id = {}
        self.in_flight = []
        self.order = itertools.count()

    def send(self, address, message):
        """Handle a message from the entry as the agent would."""
        if isinstance(message, Cancel) or self.random.random() < self.loss:
            return
        if isinstance(message, Dispatch):
            self.answer(message, 0)
        if isinstance(message, Resume):
            self.answer(message, message.offset)

    def answer(self, message, offset):
        """Send the frames of a response, starting at an offset."""
        body = self.body_by_id[message.request_id]
        ids = (message.request_id, message.attempt)
        self.deliver(AnswerHead(*ids, 200, "text/event-stream"))
        while offset < len(body):
            end = min(len(body), offset + self.random.randint(1, 60))
            self.deliver(AnswerChunk(*ids, offset, body[offset:end]))
            offset = end
        self.deliver(AnswerEnd(*ids, len(body)))

    def deliver(self, frame):
        """Deliver a frame, unless it is lost, once or twice and possibly also misattributed."""
        if self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < DUPLICATION)
        for _ in range(copies):
            self.deliver_later(frame, "agent-1")
        if self.random.random() < MISATTRIBUTION:
            # The same frame from another sender must be ignored.
            self.deliver_later(frame, "agent-2")

    def deliver_later(self, frame, sender):
        """Deliver a frame after a random delay."""
        delay_s = self.random.random() * MAX_DELAY_S
        due = self.clock.seconds() + delay_s
        heapq.heappush(self.in_flight, (due, next(self.order), frame, sender))

    def deliver_due(self):
        """Deliver the frames that are due."""
        while self.in_flight and self.in_flight[0][0] <= self.clock.seconds():
            *_, frame, sender = heapq.heappop(self.in_flight)
            self.request_coordinator.attempts.handle(frame, sender)


class FaultyLinkTest(unittest.TestCase):
    def run_streams(self, loss):
        clock = Clock()
        link = FaultyLink(clock, None, random.Random(SEED), loss)
        routing = table(slots=STREAMS)
        add_replica(routing, "agent-1", "agent-1", slots=STREAMS)
        entry = coordinator(routing, link.send, "[entry]\nstall_ms = 1000\n", clock)
        link.request_coordinator = entry
        replies = []
        for number in range(STREAMS):
            original = request(number, streaming=True, kind="live", deadline_at=200.0)
            events = [f"data: {number} {index}\n\n" for index in range(number % 40)]
            link.body_by_id[original.request_id] = "".join(events).encode()
            reply = FakeReply(streaming=True)
            entry.submit(Exchange(entry, original, reply))
            replies.append((original, reply))
        for _ in range(RUN_TIME_S * 10):
            clock.advance(0.1)
            link.deliver_due()
        return link, entry, replies

    def test_200_streams_are_delivered_byte_for_byte(self):
        link, entry, replies = self.run_streams(LOSS)
        for original, reply in replies:
            self.assertEqual(reply.answers, 1)
            self.assertTrue(reply.ended, reply.refusal)
            self.assertEqual(reply.body, link.body_by_id[original.request_id])
        self.assertEqual(entry.attempts.all(), [])

    def test_a_stream_that_cannot_continue_ends_with_a_refusal(self):
        link, entry, replies = self.run_streams(0.9)
        refused = [(original, reply) for original, reply in replies if reply.refusal]
        self.assertTrue(refused)
        for original, reply in replies:
            self.assertEqual(reply.answers, 1)
            whole = link.body_by_id[original.request_id]
            self.assertTrue(whole.startswith(reply.body))
            self.assertEqual(reply.ended, reply.refusal is None)
            if reply.ended:
                self.assertEqual(reply.body, whole)


class EventIdInserterTest(unittest.TestCase):
    def test_each_event_id_is_the_offset_of_the_next_event(self):
        self.check(b"\n")

    def test_events_whose_lines_end_with_cr_lf_are_not_held_back(self):
        self.check(b"\r\n")
        self.assertTrue(EventIdInserter("q@a").feed(b"data: 1\r\n\r\n"))

    def check(self, line_end):
        source = random.Random(SEED)
        events = [b"data: %d" % index + 2 * line_end for index in range(50)]
        body = b"".join(events) + b"tail"
        inserter = EventIdInserter("q@a")
        output = b""
        position = 0
        while position < len(body):
            size = source.randint(1, 17)
            output += inserter.feed(body[position : position + size])
            position += size
        output += inserter.flush()
        lines = [line for line in output.split(b"\n") if line.startswith(b"id: ")]
        self.assertEqual(len(lines), 50)
        for index, line in enumerate(lines):
            stream_position = StreamPosition.parse(line.removeprefix(b"id: ").decode())
            rest = body[stream_position.offset :]
            self.assertTrue(index == 49 or rest.startswith(events[index + 1]))
        without_ids = b"\n".join(line for line in output.split(b"\n") if line not in lines)
        self.assertEqual(without_ids, body)


class AssemblerTest(unittest.TestCase):
    def test_overlapping_chunks_yield_each_byte_once(self):
        source = random.Random(SEED)
        body = bytes(source.randrange(256) for _ in range(500))
        assembler = Assembler()
        taken = b""
        while len(taken) < len(body):
            start = source.randrange(0, len(body))
            end = start + source.randint(0, 40)
            before = assembler.offset
            assembled = assembler.chunk(start, body[start:end])
            self.assertEqual(assembled.step is AssemblyAction.GAP, start > before)
            taken += assembled.data
            self.assertEqual(assembler.offset, len(taken))
        self.assertEqual(taken, body)
        self.assertIs(assembler.end(len(body)).step, AssemblyAction.END)
        self.assertIs(assembler.end(len(body) + 1).step, AssemblyAction.GAP)


if __name__ == "__main__":
    unittest.main()
