"""Test how a control member keeps the origins of streams and answers entries."""

import unittest
from unittest import mock

from support import settings as control_settings
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hemlockdock_control.fleet.entry_lists import EntryLists
from hemlockdock_control.fleet.nodes import FleetNodes
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.state import ClusterStateMachine
from hemlockdock_core.commands import CommandResult, RecordCrash, RecordEndpoints
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.messages import (
    NODE_CODEC,
    FindStreamOrigin,
    LimitNamed,
    OriginQuestion,
    PermitRequest,
    Proposal,
    ProposalResult,
    StreamOriginReply,
    StreamStarted,
    WatchTable,
)
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame

ENTRY = "tcp://10.0.0.1:1"


class EntryListsTest(unittest.TestCase):
    def setUp(self):
        self.sent = []
        self.lists = EntryLists(lambda address, message: self.sent.append((address, message)))

    def heartbeat(self, *addresses, now_s, is_new=False):
        self.sent.clear()
        for address in addresses:
            self.lists.heartbeat(address, now_s, is_new)
        return [(address, message.addresses) for address, message in self.sent]

    def test_each_entry_is_told_of_the_others_when_they_have_changed(self):
        self.assertEqual(self.heartbeat("a", "b", now_s=0.0), [("a", []), ("b", ["a"])])
        self.assertEqual(self.heartbeat("a", "b", now_s=0.5), [])
        self.assertEqual(self.heartbeat("a", "b", now_s=1.0), [("a", ["b"])])
        self.assertEqual(self.heartbeat("a", "b", now_s=9.0), [])
        self.lists.remove("b")
        self.assertEqual(self.heartbeat("a", now_s=10.0), [("a", [])])

    def test_an_entry_that_was_started_anew_is_told_again(self):
        self.heartbeat("a", "b", now_s=0.0)
        self.heartbeat("a", "b", now_s=1.0)
        self.assertEqual(self.heartbeat("a", now_s=1.5, is_new=True), [("a", ["b"])])


class StreamOriginTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.replicator = mock.Mock(has_lease=True)
        self.proposer = mock.Mock()
        self.limits = RequestLimits(0.0)
        self.nodes = FleetNodes(
            mock.Mock(),
            self.replicator,
            ClusterStateMachine(control_settings()),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            self.clock,
            lambda address, message: self.sent.append((address, message)),
            self.proposer,
            mock.Mock(),
            self.limits,
        )
        self.settings = self.nodes._settings
        self.feed = self.nodes._feed

    def receive(self, message, reply_to=ENTRY):
        data = NODE_CODEC.encode(Frame(PROTOCOL_VERSION, "entry-1", 1, reply_to, message))
        self.nodes.on_frame(NODE_CODEC.decode(data))

    def test_what_an_entry_saw_of_a_crash_is_committed_once_and_answered(self):
        command = RecordCrash("e", "entry-1", ["bad"], 0, is_complete=False)
        committed = Deferred()
        self.proposer.propose.return_value = committed
        for _ in range(2):
            self.receive(Proposal("p1", command))
        self.proposer.propose.assert_called_once_with(command)
        committed.callback(CommandResult(3))
        self.assertEqual(self.sent, [(ENTRY, ProposalResult("p1", CommandResult(3)))])

    def test_a_member_that_catches_up_pushes_older_tables_one_after_another(self):
        # Guards against routes that entries have already left behind, after a restart.
        self.settings.control.election_ms = 400
        self.replicator.last_leader_contact_s = 0.1
        self.replicator.is_caught_up = False
        self.receive(WatchTable(0, 0))
        self.feed.watch.assert_called_once()
        self.feed.push.assert_not_called()
        self.assertFalse(self.nodes.may_push)
        self.replicator.is_caught_up = True
        self.receive(WatchTable(0, 0))
        self.feed.push.assert_called_once()

    def test_a_node_of_a_fleet_may_not_propose_decisions(self):
        self.receive(Proposal("p1", RecordEndpoints((), (), 0)))
        self.proposer.propose.assert_not_called()
        self.assertEqual(self.sent[0][1].result.refusal.kind, ErrorKind.BAD_REQUEST)

    def test_only_a_leader_with_a_lease_issues_permits(self):
        self.replicator.has_lease = False
        self.receive(PermitRequest("e", 1, (0,), 5))
        self.assertEqual(self.sent, [])
        self.replicator.has_lease = True
        self.receive(LimitNamed("e", 2.0))
        self.clock.advance(0.6)
        self.receive(PermitRequest("e", 2, (0, 0), 0))
        offers = self.sent[0][1].offers
        self.assertEqual([offer.is_booked for offer in offers], [True, False])

    def test_what_an_entry_says_of_a_limit_reaches_the_leader_only(self):
        self.replicator.is_leader = False
        self.receive(LimitNamed("e", 2.0))
        self.assertIsNone(self.limits.row_per_s("e", 0.0))
        self.replicator.is_leader = True
        self.receive(LimitNamed("e", 2.0))
        self.assertEqual(self.limits.row_per_s("e", 0.0), 2.0)
        self.receive(LimitNamed("e", None))
        self.assertIsNone(self.limits.row_per_s("e", 0.0))

    def test_a_member_that_does_not_lead_tells_another_entry_where_a_stream_began(self):
        self.replicator.has_lease = False
        self.receive(StreamStarted("r1", "lm", "v1", 5_000))
        self.clock.advance(4.9)
        self.receive(FindStreamOrigin(7, OriginQuestion("r1", "", 0)), "tcp://10.0.0.2:1")
        self.assertEqual(self.sent, [("tcp://10.0.0.2:1", StreamOriginReply(7, "lm", "v1"))])

    def test_an_unknown_or_expired_stream_is_answered_as_unknown(self):
        self.receive(FindStreamOrigin(1, OriginQuestion("r1", "", 0)))
        self.receive(StreamStarted("r1", "lm", "v1", 5_000))
        self.clock.advance(5.0)
        self.receive(FindStreamOrigin(2, OriginQuestion("r1", "", 0)))
        self.assertEqual(
            self.sent, [(ENTRY, StreamOriginReply(number, "", "")) for number in (1, 2)]
        )
