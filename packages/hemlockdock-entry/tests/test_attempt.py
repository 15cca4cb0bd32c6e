"""Test that a request whose dispatch or answer is lost on the way doesn't wait for its deadline."""

import unittest

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
        routing = table()
        add_replica(routing, "agent-1", "agent-1")
        self.made = coordinator(routing, self.send, "", self.clock)
        self.asked = request(1, deadline_at=DEADLINE_S)
        self.reply = FakeReply()
        self.made.submit(Exchange(self.made, self.asked, self.reply))

    def send(self, _, message):
        if isinstance(message, Dispatch):
            self.sent.append(message)

    def hear(self, *bodies):
        for body in bodies:
            self.made.attempts.handle(body, "agent-1")

    def test_it_is_sent_again_as_the_same_try_with_the_time_that_is_left(self):
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        first, second = self.sent
        self.assertEqual((first.request_id, first.attempt), (second.request_id, second.attempt))
        self.assertAlmostEqual(first.deadline_ms - second.deadline_ms, 1_010, delta=20)

    def test_an_answer_that_began_is_not_asked_for_again(self):
        self.hear(AnswerHead(self.asked.request_id, 1, 200, "text/plain"))
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        self.assertEqual(len(self.sent), 1)

    def test_it_is_sent_ever_less_often(self):
        for _ in range(29):
            self.clock.advance(1.0)
        self.assertLessEqual(len(self.sent), 5)

    def test_the_answer_to_the_second_is_delivered(self):
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        ids = (self.asked.request_id, 1)
        self.hear(
            AnswerHead(*ids, 200, "text/plain"), AnswerChunk(*ids, 0, b"ok"), AnswerEnd(*ids, 2)
        )
        self.assertEqual((self.reply.ended, self.reply.body), (True, b"ok"))

    def test_where_the_answer_was_lost_a_repeatable_request_runs_again(self):
        self.clock.advance(FIRST_RETRANSMIT_S + 0.01)
        refusal = Refusal.of(ErrorKind.ALREADY_RAN, "this try was answered before")
        self.hear(Refused(self.asked.request_id, 1, refusal))
        self.clock.advance(1.0)
        self.assertIsNone(self.reply.refusal)
        self.assertEqual(self.sent[-1].attempt, 2)


if __name__ == "__main__":
    unittest.main()
