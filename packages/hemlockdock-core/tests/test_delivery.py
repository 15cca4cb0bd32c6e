"""Test when a connection without answers is renewed, and what is sent again."""

import unittest

from twisted.internet.task import Clock

from hemlockdock_core.links.delivery import (
    GIVE_UP_AFTER_S,
    MAX_BUSY_S,
    MAX_RENEW_AFTER_S,
    PROBE_AFTER_S,
    RENEW_AFTER_S,
    Delivery,
    LinkAction,
)
from hemlockdock_core.links.frame_number import COUNT_BITS, NOT_NUMBERED
from hemlockdock_core.links.renewal_budget import MAX_RENEWALS, RenewalBudget
from hemlockdock_core.links.retained_frames import LONG_TRANSFER_S, MAX_RETAINED_BYTES

PEER = 5 << COUNT_BITS
RESTARTED_PEER = 9 << COUNT_BITS
OWN = 7 << COUNT_BITS


class DeliveryTest(unittest.TestCase):
    def setUp(self):
        self.delivery = Delivery()
        self.count = 0

    def send(self, now_s=0.0, expects_answer=True, data=b"x"):
        self.count += 1
        return self.delivery.record_sent(OWN + self.count, data, expects_answer, now_s)

    def receive(self, count, acknowledged=0, peer=PEER, now_s=0.0):
        self.delivery.acknowledge(OWN + acknowledged)
        return self.delivery.record_received(peer + count, now_s)

    def renew(self, now_s):
        self.assertIs(self.delivery.decide(now_s), LinkAction.RENEW)
        self.delivery.hold(now_s)

    def released(self, now_s=0.0):
        return [frame.number - OWN for frame in self.delivery.release(now_s)]

    def test_a_question_without_an_answer_is_probed_and_then_renews_the_connection(self):
        self.receive(1)
        self.send(1.0)
        self.assertEqual(self.delivery.due_s, 1.0 + PROBE_AFTER_S)
        self.assertIs(self.delivery.decide(1.0), LinkAction.NONE)
        self.assertIs(self.delivery.decide(1.0 + PROBE_AFTER_S), LinkAction.PROBE)
        self.assertIs(self.delivery.decide(1.0 + PROBE_AFTER_S), LinkAction.NONE)
        self.renew(1.0 + RENEW_AFTER_S)
        self.assertTrue(self.delivery.holds)
        self.assertEqual(self.delivery.unanswered_s(2.0), 1.0)

    def test_an_acknowledged_question_renews_nothing(self):
        self.send(1.0)
        self.receive(1, acknowledged=1)
        self.assertIsNone(self.delivery.due_s)
        self.assertIs(self.delivery.decide(9.0), LinkAction.NONE)

    def test_frames_of_the_peer_that_acknowledge_nothing_do_not_keep_the_connection(self):
        self.receive(1)
        self.send(1.0)
        for count in range(2, 5):
            self.assertTrue(self.receive(count))
        self.renew(1.0 + RENEW_AFTER_S)

    def test_a_frame_that_expects_no_answer_renews_nothing(self):
        self.receive(1)
        self.send(1.0, expects_answer=False)
        self.assertIs(self.delivery.decide(9.0), LinkAction.NONE)

    def test_a_renewal_sends_again_what_was_not_acknowledged_in_order(self):
        self.receive(1)
        for _ in range(3):
            self.send(1.0)
        self.renew(1.0 + RENEW_AFTER_S)
        self.send(1.5)
        self.receive(2, acknowledged=2)
        self.assertEqual(self.released(1.6), [3, 4])
        self.assertFalse(self.delivery.holds)
        self.assertEqual(self.delivery.due_s, 1.6 + PROBE_AFTER_S)

    def test_a_peer_started_anew_gets_nothing_that_went_to_its_predecessor(self):
        self.receive(1)
        self.send(1.0)
        self.renew(1.0 + RENEW_AFTER_S)
        self.send(1.5)
        self.delivery.record_session(RESTARTED_PEER, 1.6)
        self.assertEqual(self.released(1.6), [2])

    def test_a_frame_that_arrives_again_is_recognized(self):
        self.assertTrue(self.receive(1))
        self.assertTrue(self.receive(4))
        self.assertFalse(self.receive(3))
        self.assertFalse(self.receive(4))
        self.assertTrue(self.receive(1, peer=RESTARTED_PEER))

    def test_a_frozen_peer_is_asked_less_and_less_often(self):
        self.receive(1)
        self.send(0.0)
        renewals_s = []
        for number in range(1_000):
            now_s = number / 100
            if self.delivery.decide(now_s) is LinkAction.RENEW:
                self.delivery.hold(now_s)
                renewals_s.append(now_s)
        gaps_s = [after - before for before, after in zip(renewals_s, renewals_s[1:], strict=False)]
        self.assertEqual(gaps_s, sorted(gaps_s))
        self.assertAlmostEqual(gaps_s[-1], MAX_RENEW_AFTER_S, delta=0.02)
        self.assertLessEqual(len(renewals_s), 6)

    def test_a_peer_without_an_answer_for_long_is_given_up(self):
        self.receive(1)
        self.send(0.0)
        self.assertIs(self.delivery.decide(GIVE_UP_AFTER_S), LinkAction.GIVE_UP)
        self.assertFalse(self.delivery.is_waiting)
        self.assertEqual(self.released(), [])

    def test_the_time_in_which_this_process_did_not_run_does_not_count(self):
        self.receive(1)
        self.send(1.0)
        self.delivery.postpone(3.0)
        self.assertIs(self.delivery.decide(4.1), LinkAction.NONE)

    def test_a_peer_of_another_software_version_is_never_renewed(self):
        self.delivery.record_received(NOT_NUMBERED, 0.0)
        self.send(1.0)
        self.assertIs(self.delivery.decide(9.0), LinkAction.NONE)
        self.delivery.hold(9.0)
        self.assertFalse(self.delivery.holds)

    def test_a_peer_that_never_answered_gets_frames_at_once(self):
        self.send(1.0)
        self.renew(1.0 + MAX_RENEW_AFTER_S)
        self.assertFalse(self.delivery.holds)

    def test_what_is_retained_is_bounded(self):
        self.receive(1)
        half = b"x" * (MAX_RETAINED_BYTES // 2)
        for _ in range(4):
            self.send(1.0, data=half)
        self.assertEqual(self.delivery.retained.not_retained, 2)
        self.receive(2, acknowledged=1)
        self.assertEqual(self.delivery.retained.not_retained, 2)
        self.assertEqual(self.released(), [3, 4])
        self.receive(3, acknowledged=2)
        self.assertEqual(self.delivery.retained.not_retained, 0)

    def test_a_connection_with_a_long_transfer_on_its_way_is_not_replaced_for_a_while(self):
        self.receive(1)
        half = b"x" * (MAX_RETAINED_BYTES // 2)
        for _ in range(3):
            self.send(1.0, expects_answer=False, data=half)
        self.assertTrue(self.delivery.retained.is_long_transfer(2.0))
        self.assertFalse(self.delivery.retained.is_long_transfer(1.0 + LONG_TRANSFER_S))
        self.receive(2, acknowledged=1)
        self.assertFalse(self.delivery.retained.is_long_transfer(2.0))

    def test_a_process_that_was_busy_waits_for_the_answer_anew(self):
        self.receive(1)
        self.send(1.0)
        self.delivery.restart_clock(2.0)
        self.assertIs(self.delivery.decide(2.1), LinkAction.NONE)
        self.delivery.restart_clock(1.0 + MAX_BUSY_S)
        self.assertIs(self.delivery.decide(1.0 + MAX_BUSY_S), LinkAction.RENEW)

    def test_a_process_replaces_a_limited_number_of_connections_within_a_second(self):
        clock = Clock()
        budget = RenewalBudget.of(clock)
        self.assertIs(RenewalBudget.of(clock), budget)
        self.assertEqual(sum(budget.take() for _ in range(2 * MAX_RENEWALS)), MAX_RENEWALS)
        clock.advance(1.0)
        self.assertTrue(budget.take())

    def test_a_peer_that_is_heard_while_it_owes_an_answer_is_not_asked_to_renew(self):
        self.receive(1)
        self.send(1.0)
        self.receive(2, now_s=1.2)
        self.assertTrue(self.delivery.is_heard(1.0 + RENEW_AFTER_S))

    def test_a_peer_that_falls_silent_with_its_last_answer_is_asked_to_renew_at_once(self):
        self.receive(1)
        self.send(1.0)
        self.send(1.01)
        self.receive(2, acknowledged=1, now_s=1.02)
        self.renew(1.01 + RENEW_AFTER_S)
        self.assertFalse(self.delivery.is_heard(1.01 + RENEW_AFTER_S))


if __name__ == "__main__":
    unittest.main()
