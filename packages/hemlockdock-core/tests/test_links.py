"""Test that frames arrive complete and in order, and which ones close their connection."""

import unittest

import pynng
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial import unittest as trial_unittest

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, AnswerChunk
from hemlockdock_core.messages.codec import MalformedFrameError, UnknownMessageError
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.metrics import COUNTERS

WAIT_S = 240


class MessageTransportTest(trial_unittest.TestCase):
    timeout = WAIT_S

    def open(self, node_id, on_frame):
        transport = MessageTransport(reactor, node_id, 1, NODE_CODEC, "tcp://127.0.0.1:0", on_frame)
        self.addCleanup(transport.close)
        return transport

    def test_many_frames_arrive_in_order(self):
        received = []
        done = Deferred()

        def collect(frame):
            received.append(frame.body.offset)
            if len(received) == 2_000:
                done.callback(None)

        receiver = self.open("receiver", collect)
        sender = self.open("sender", lambda frame: None)
        for offset in range(2_000):
            sender.send(receiver.address, AnswerChunk("r", 1, offset, b"x" * 200))
        done.addCallback(lambda _: self.assertEqual(received, list(range(2_000))))
        return done

    def test_a_malformed_frame_is_counted_and_other_peers_are_unaffected(self):
        done = Deferred()
        receiver = self.open("receiver", lambda frame: done.callback(frame))
        before = COUNTERS.value("link_malformed_frames")
        malformed_sender = pynng.Push0(dial=receiver.address, block_on_dial=True)
        self.addCleanup(malformed_sender.close)
        malformed_sender.send(b"not a frame")
        sender = self.open("sender", lambda frame: None)

        def send_good_frame():
            if COUNTERS.value("link_malformed_frames") == before:
                reactor.callLater(0.01, send_good_frame)
                return
            sender.send(receiver.address, AnswerChunk("r", 1, 0, b""))

        send_good_frame()
        done.addCallback(lambda frame: self.assertEqual(frame.sender, "sender"))
        return done

    def test_a_message_of_another_software_version_leaves_its_connection_open(self):
        done = Deferred()
        receiver = self.open("receiver", lambda frame: done.callback(frame))
        before = COUNTERS.value("link_unknown_messages")
        newer = pynng.Push0(dial=receiver.address, block_on_dial=True)
        self.addCleanup(newer.close)
        pipes = len(newer.pipes)
        unknown = Frame(PROTOCOL_VERSION, "newer", 1, "", ["MessageOfTomorrow", 7])
        newer.send(NODE_CODEC.encode(unknown))
        newer.send(NODE_CODEC.encode(Frame(1, "newer", 1, "", AnswerChunk("r", 1, 0, b""))))

        def check(frame):
            self.assertEqual(frame.sender, "newer")
            self.assertEqual(COUNTERS.value("link_unknown_messages"), before + 1)
            self.assertEqual(len(newer.pipes), pipes)

        return done.addCallback(check)


class CodecTest(unittest.TestCase):
    def test_only_bytes_that_are_no_frame_of_this_protocol_are_malformed(self):
        body = ["MessageOfTomorrow", 7]
        with self.assertRaises(UnknownMessageError):
            NODE_CODEC.decode(NODE_CODEC.encode(Frame(PROTOCOL_VERSION, "n", 1, "", body)))
        malformed = (
            b"not a frame",
            b"",
            NODE_CODEC.encode(Frame(PROTOCOL_VERSION + 1, "n", 1, "", body)),
            NODE_CODEC.encode(["n"]),
        )
        for data in malformed:
            with self.subTest(data=data), self.assertRaises(MalformedFrameError):
                NODE_CODEC.decode(data)


if __name__ == "__main__":
    unittest.main()
