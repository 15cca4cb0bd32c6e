"""Test that streams come whole over links that lose, repeat, reorder and cross frames."""

import heapq
import itertools
import random
import unittest

from support import FakeReply, add_replica, coordinator, request, table
from twisted.internet.task import Clock

from hemlockdock_core.messages import AnswerChunk, AnswerEnd, AnswerHead, Cancel, Dispatch, Resume
from hemlockdock_entry.streams import Assembler, EventMarker, Step, StreamPlace
from hemlockdock_entry.tasks.exchange import Exchange

STREAMS = 200
SEED = 20_261_203
LOSS = 0.05
REPEAT = 0.1
CROSS = 0.05
LONGEST_DELAY_S = 0.3
LONGEST_S = 300


class FaultyLink:
    """Deliver frames late, out of order, twice, crossed or not at all."""

    def __init__(self, clock, made, random_source, loss):
        self.clock = clock
        self.made = made
        self.random = random_source
        self.loss = loss
        self.body_by_id = {}
        self.on_the_way = []
        self.order = itertools.count()

    def send(self, address, message):
        """Take a message of the entry at the agent."""
        if isinstance(message, Cancel) or self.random.random() < self.loss:
            return
        if isinstance(message, Dispatch):
            self.answer(message, 0)
        if isinstance(message, Resume):
            self.answer(message, message.offset)

    def answer(self, message, offset):
        """Send an answer's frames from an offset on."""
        body = self.body_by_id[message.request_id]
        ids = (message.request_id, message.attempt)
        self.pass_on(AnswerHead(*ids, 200, "text/event-stream"))
        while offset < len(body):
            end = min(len(body), offset + self.random.randint(1, 60))
            self.pass_on(AnswerChunk(*ids, offset, body[offset:end]))
            offset = end
        self.pass_on(AnswerEnd(*ids, len(body)))

    def pass_on(self, frame):
        """Deliver a frame in one of the faulty ways."""
        if self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < REPEAT)
        for _ in range(copies):
            self.deliver_later(frame, "agent-1")
        if self.random.random() < CROSS:
            # The same frame under another agent's name must count for nothing.
            self.deliver_later(frame, "agent-2")

    def deliver_later(self, frame, sender):
        """Deliver a frame after a random time."""
        delay_s = self.random.random() * LONGEST_DELAY_S
        due = self.clock.seconds() + delay_s
        heapq.heappush(self.on_the_way, (due, next(self.order), frame, sender))

    def deliver_due(self):
        """Deliver what has arrived by now."""
        while self.on_the_way and self.on_the_way[0][0] <= self.clock.seconds():
            *_, frame, sender = heapq.heappop(self.on_the_way)
            self.made.attempts.handle(frame, sender)


class FaultyLinkTest(unittest.TestCase):
    def run_streams(self, loss):
        clock = Clock()
        link = FaultyLink(clock, None, random.Random(SEED), loss)
        routing = table(slots=STREAMS)
        add_replica(routing, "agent-1", "agent-1", slots=STREAMS)
        made = coordinator(routing, link.send, "[entry]\nstall_ms = 1000\n", clock)
        link.made = made
        replies = []
        for number in range(STREAMS):
            asked = request(number, streaming=True, kind="live", deadline_at=200.0)
            events = [f"data: {number} {index}\n\n" for index in range(number % 40)]
            link.body_by_id[asked.request_id] = "".join(events).encode()
            reply = FakeReply(streaming=True)
            made.submit(Exchange(made, asked, reply))
            replies.append((asked, reply))
        for _ in range(LONGEST_S * 10):
            clock.advance(0.1)
            link.deliver_due()
        return link, made, replies

    def test_200_streams_come_byte_for_byte(self):
        link, made, replies = self.run_streams(LOSS)
        for asked, reply in replies:
            self.assertEqual(reply.answers, 1)
            self.assertTrue(reply.ended, reply.refusal)
            self.assertEqual(reply.body, link.body_by_id[asked.request_id])
        self.assertEqual(made.attempts.all(), [])

    def test_a_stream_that_cannot_go_on_ends_with_a_typed_refusal(self):
        link, made, replies = self.run_streams(0.9)
        refused = [(asked, reply) for asked, reply in replies if reply.refusal]
        self.assertTrue(refused)
        for asked, reply in replies:
            self.assertEqual(reply.answers, 1)
            whole = link.body_by_id[asked.request_id]
            self.assertTrue(whole.startswith(reply.body))
            self.assertEqual(reply.ended, reply.refusal is None)
            if reply.ended:
                self.assertEqual(reply.body, whole)


class EventMarkerTest(unittest.TestCase):
    def test_each_id_names_the_place_from_which_the_rest_follows(self):
        source = random.Random(SEED)
        body = b"".join(b"data: %d\n\n" % index for index in range(50)) + b"tail"
        marker = EventMarker("q@a")
        marked = b""
        position = 0
        while position < len(body):
            size = source.randint(1, 17)
            marked += marker.feed(body[position : position + size])
            position += size
        marked += marker.finish()
        lines = [line for line in marked.split(b"\n") if line.startswith(b"id: ")]
        self.assertEqual(len(lines), 50)
        for index, line in enumerate(lines):
            place = StreamPlace.parse(line.removeprefix(b"id: ").decode())
            rest = body[place.offset :]
            self.assertTrue(rest.startswith(b"data: %d\n\n" % (index + 1)) or index == 49)
        without_ids = b"\n".join(line for line in marked.split(b"\n") if line not in lines)
        self.assertEqual(without_ids, body)


class AssemblerTest(unittest.TestCase):
    def test_overlaps_give_each_byte_once(self):
        source = random.Random(SEED)
        body = bytes(source.randrange(256) for _ in range(500))
        assembler = Assembler()
        taken = b""
        while len(taken) < len(body):
            start = source.randrange(0, len(body))
            end = start + source.randint(0, 40)
            before = assembler.offset
            assembled = assembler.chunk(start, body[start:end])
            self.assertEqual(assembled.step is Step.GAP, start > before)
            taken += assembled.data
            self.assertEqual(assembler.offset, len(taken))
        self.assertEqual(taken, body)
        self.assertIs(assembler.end(len(body)).step, Step.END)
        self.assertIs(assembler.end(len(body) + 1).step, Step.GAP)


if __name__ == "__main__":
    unittest.main()
