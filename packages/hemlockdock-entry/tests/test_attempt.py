"""Test that a request whose dispatch or answer was lost is not left waiting for its deadline.

A link that breaks drops the messages it carries.
"""

import unittest

import msgspec
from support import FakeReply, add_replica, coordinator, request, table
from twisted.internet.task import Clock

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import AnswerChunk, AnswerEnd, AnswerHead, Dispatch, Refused
from hemlockdock_entry.tasks.attempt import FIRST_RETRANSMIT_S
from hemlockdock_entry.tasks.exchange import Exchange

DEADLINE_S = 30.0


class LostDispatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.table = table()
        add_replica(self.table, "agent-1", "agent-1")
        self.coord = coordinator(self.table, self.send, "", self.clock)
        self.submitted = request(1, deadline_at=DEADLINE_S)
        self.reply = FakeReply()
        self.coord.submit(Exchange(self.coord, self.submitted, self.reply))

    def send(self, _, message):
        if isinstance(message, Dispatch):
            self.sent.append(message)

    def receive(self, *bodies):
        for body in bodies:
            self.coord.attempts.handle(body, "agent-1")

    def test_retransmit_keeps_the_attempt_number_and_the_remaining_time(self):
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        first, second = self.sent
        self.assertEqual((first.request_id, first.attempt), (second.request_id, second.attempt))
        self.assertAlmostEqual(first.deadline_ms - second.deadline_ms, 1_010, delta=20)

    def test_no_retransmit_after_the_answer_has_begun(self):
        self.receive(AnswerHead(self.submitted.request_id, 1, 200, "text/plain"))
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        self.assertEqual(len(self.sent), 1)

    def test_no_retransmit_to_a_leaving_agent(self):
        node = self.table.node_by_id["agent-1"]
        self.table.put(msgspec.structs.replace(node, leaving=True))
        self.coord.table_changed()
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        self.assertEqual(len(self.sent), 1)

    def test_retransmit_delay_grows(self):
        for _ in range(29):
            self.clock.advance(1.0)
        self.assertLessEqual(len(self.sent), 5)

    def test_answer_to_a_retransmit_is_delivered(self):
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        ids = (self.submitted.request_id, 1)
        self.receive(
            AnswerHead(*ids, 200, "text/plain"), AnswerChunk(*ids, 0, b"ok"), AnswerEnd(*ids, 2)
        )
        self.assertEqual((self.reply.ended, self.reply.body), (True, b"ok"))

    def test_repeatable_request_runs_again_if_its_answer_was_lost(self):
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        refusal = Refusal.of(ErrorKind.ALREADY_RAN, "this try was answered before")
        self.receive(Refused(self.submitted.request_id, 1, refusal))
        self.clock.advance(1.0)
        self.assertIsNone(self.reply.refusal)
        self.assertEqual(self.sent[-1].attempt, 2)

    def test_frames_of_another_agent_than_the_one_asked_are_discarded(self):
        refusal = Refusal.of(ErrorKind.ALREADY_RAN, "this try was answered before")
        self.coord.attempts.handle(Refused(self.submitted.request_id, 1, refusal), "agent-2")
        self.clock.advance(0.5)
        self.assertIsNone(self.reply.refusal)
        self.assertEqual(len(self.coord.attempts.all()), 1)


if __name__ == "__main__":
    unittest.main()
