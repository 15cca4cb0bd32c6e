"""Test over two processes that questions over silent connections are answered in time."""

import logging
import random
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.link_network import (  # noqa: E402
    ONE_WAY_S,
    Direction,
    LinkNetwork,
    VirtualMailbox,
)

from hemlockdock_control.consensus.messages import PEER_CODEC, AppendReply, Forward  # noqa: E402
from hemlockdock_core.links import MessageTransport  # noqa: E402
from hemlockdock_core.links.delivery import PROBE_AFTER_S  # noqa: E402
from hemlockdock_core.links.frame_number import COUNT_BITS  # noqa: E402
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame  # noqa: E402
from hemlockdock_core.metrics import COUNTERS, GAUGES  # noqa: E402

A = "tcp://127.0.0.1:1"
B = "tcp://127.0.0.2:1"
WITHIN_S = 1.0
STEP_S = 0.01


class LinkPairTest(unittest.TestCase):
    """Two control members that relay what operators and nodes ask."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.network = LinkNetwork()
        self.random = random.Random(1)
        self.received = []
        self.answers = []
        self.reply = Forward(b"")
        self.a_process = self.network.process()
        self.b_process = self.network.process()
        self.a = self.transport("a", A, self.a_process, self.answers.append)
        self.b = self.transport("b", B, self.b_process, self.answer)
        self.ask(b"1")
        self.run_s(1.0)

    def transport(self, name, address, process, on_frame):
        return MessageTransport(
            process,
            name,
            1,
            PEER_CODEC,
            address,
            on_frame,
            random_source=self.random,
            **self.network.sockets(address),
        )

    def ask(self, data):
        self.a.send(B, Forward(data))

    def answer(self, frame):
        self.received.append(frame.body.data)
        if frame.body.data:
            self.b.send(A, self.reply)

    def run_s(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.network.advance(STEP_S)

    def opened_by(self, action):
        before = self.network.opened
        action()
        return self.network.opened - before

    def test_a_relayed_question_is_answered_within_a_second_over_silent_connections(self):
        for direction, opened in (
            (Direction.BOTH, 2),
            (Direction.TO_MEMBERS, 2),
            (Direction.TO_NODES, 2),
        ):
            with self.subTest(direction=direction):
                self.network.silence({A}, direction)
                self.answers.clear()
                self.ask(b"2")
                self.assertLessEqual(self.opened_by(lambda: self.run_s(WITHIN_S)), opened)
                self.assertEqual(len(self.answers), 1)

    def test_a_member_that_asks_all_the_time_is_answered_within_a_second_of_a_silence(self):
        """A question is on its way as the last answer arrives, and answers expect no answer."""
        self.reply = AppendReply(1, 0.0, True, 1)
        for number in range(40):
            self.ask(b"%d" % number)
            self.network.advance(ONE_WAY_S / 2)
        self.network.silence({A})
        self.run_s(WITHIN_S)
        self.assertEqual(len(self.answers), 41)

    def test_what_a_slow_peer_gets_again_is_delivered_once_and_in_order(self):
        self.b_process.frozen_until_s = self.network.seconds() + 2.0
        for number in range(20):
            self.ask(b"%d" % (100 + number))
            self.run_s(0.2)
        self.run_s(3.0)
        self.assertEqual(self.received[1:], [b"%d" % (100 + number) for number in range(20)])

    def test_a_frozen_peer_has_few_connections_to_accept(self):
        self.b_process.frozen_until_s = self.network.seconds() + 10.0
        self.ask(b"2")
        self.assertLessEqual(self.opened_by(lambda: self.run_s(10.0)), 6)
        self.run_s(3.0)
        self.assertEqual(len(self.answers), 2)

    def test_a_process_started_anew_does_not_get_what_its_predecessor_got(self):
        self.b_process.frozen_until_s = self.network.seconds() + 60.0
        self.ask(b"2")
        self.run_s(0.6)
        self.ask(b"3")
        self.b = self.transport("b", B, self.network.process(), self.answer)
        self.received.clear()
        self.run_s(3.0)
        self.assertEqual(self.received, [b"3"])

    def test_a_frame_that_arrives_again_after_a_disconnection_is_delivered_once(self):
        self.network.silence({A}, Direction.TO_NODES)
        self.ask(b"2")
        self.run_s(0.1)
        self.b.disconnect(A)
        self.run_s(2.0)
        self.assertEqual(self.received, [b"1", b"2"])

    def test_a_connection_over_which_the_peer_is_heard_is_not_replaced(self):
        self.network.silence({A}, Direction.TO_MEMBERS)
        self.ask(b"2")

        def hear():
            for _ in range(10):
                self.b.send(A, AppendReply(1, 0.0, True, 1))
                self.run_s(0.1)

        self.assertEqual(self.opened_by(hear), 1)
        self.assertEqual(self.received, [b"1", b"2"])

    def test_a_frame_that_arrives_over_two_connections_is_delivered_once(self):
        number = (3 << COUNT_BITS) + 1
        frame = Frame(PROTOCOL_VERSION, "c", 1, "tcp://127.0.0.3:1", Forward(b""), number)
        for _ in range(2):
            self.b._receive(frame)
        self.assertEqual(len(self.received), 2)

    def test_a_connection_that_nobody_uses_is_closed_and_opened_again_when_needed(self):
        self.a.disconnect_idle(10.0)
        self.run_s(20.0)
        self.a.disconnect_idle(10.0)
        self.assertEqual(self.opened_by(lambda: self.ask(b"2")), 1)
        self.run_s(1.0)
        self.assertEqual(self.received, [b"1", b"2"])

    def test_a_peer_that_numbers_no_frames_is_answered_and_never_renewed(self):
        received = []
        address = "tcp://127.0.0.3:1"
        VirtualMailbox(self.network, self.network.process(), address, PEER_CODEC, received.append)
        self.b._receive(Frame(PROTOCOL_VERSION, "old", 1, address, Forward(b"")))
        self.b.send(address, Forward(b"4"))
        self.assertEqual(self.opened_by(lambda: self.run_s(5.0)), 0)
        self.assertEqual([frame.body.data for frame in received], [b"4"])

    def test_a_peer_that_does_not_listen_yet_gets_what_was_sent_meanwhile(self):
        other = "tcp://127.0.0.3:1"
        self.a.send(other, Forward(b"5"))
        self.assertEqual(self.opened_by(lambda: self.run_s(5.0)), 0)
        received = []
        self.transport("late", other, self.network.process(), received.append)
        self.run_s(1.0)
        self.assertEqual([frame.body.data for frame in received], [b"5"])

    def test_the_seconds_without_an_answer_are_shown_until_there_is_one(self):
        key = ("link_unanswered_seconds", (("peer", B),))
        renewals = COUNTERS.value("link_renewals")
        self.b_process.frozen_until_s = self.network.seconds() + 2.0
        self.ask(b"2")
        self.run_s(2 * PROBE_AFTER_S + STEP_S)
        self.assertGreaterEqual(GAUGES.value_by_key[key], PROBE_AFTER_S)
        self.run_s(5.0)
        self.assertNotIn(key, GAUGES.value_by_key)
        self.assertGreater(COUNTERS.value("link_renewals"), renewals)


if __name__ == "__main__":
    unittest.main()
