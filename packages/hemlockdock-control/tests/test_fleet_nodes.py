"""Test how a control member keeps the origins of streams and answers entries."""

import unittest
from unittest import mock

from twisted.internet.task import Clock

from hemlockdock_control.fleet.nodes import FleetNodes
from hemlockdock_core.messages import (
    NODE_CODEC,
    FindStreamOrigin,
    StreamBegun,
    StreamOriginReply,
)
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame

ENTRY = "tcp://10.0.0.1:1"


class StreamOriginTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.sent = []
        replicator = mock.Mock(is_leader=False)
        self.nodes = FleetNodes(
            mock.Mock(),
            replicator,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            self.clock,
            lambda address, message: self.sent.append((address, message)),
            mock.Mock(),
        )

    def receive(self, message, reply_to=ENTRY):
        data = NODE_CODEC.encode(Frame(PROTOCOL_VERSION, "entry-1", 1, reply_to, message))
        self.nodes.on_frame(NODE_CODEC.decode(data))

    def test_a_member_that_does_not_lead_tells_another_entry_where_a_stream_began(self):
        self.receive(StreamBegun("r1", "lm", "v1", 5_000))
        self.clock.advance(4.9)
        self.receive(FindStreamOrigin("r1"), "tcp://10.0.0.2:1")
        self.assertEqual(self.sent, [("tcp://10.0.0.2:1", StreamOriginReply("r1", "lm", "v1"))])

    def test_an_unknown_or_expired_stream_is_answered_as_unknown(self):
        self.receive(FindStreamOrigin("r1"))
        self.receive(StreamBegun("r1", "lm", "v1", 5_000))
        self.clock.advance(5.0)
        self.receive(FindStreamOrigin("r1"))
        self.assertEqual(self.sent, 2 * [(ENTRY, StreamOriginReply("r1", "", ""))])
