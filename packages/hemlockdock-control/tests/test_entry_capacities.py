"""Test the capacity ratios that the leader sends to entries."""

import unittest
from unittest import mock

from twisted.internet.task import Clock

from hemlockdock_control.fleet.entry_capacities import SETTLE_S
from hemlockdock_control.fleet.nodes import NODE_TIMEOUT_S, FleetNodes
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_core.messages import Heartbeat, NodeInfo
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame


class EntryCapacitiesTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.replicator = mock.Mock(is_leader=True, has_lease=True, last_leader_contact_s=0.0)
        self.replicator.leader_id = ""
        self.replicator.configuration.members = []
        settings = mock.Mock()
        settings.control.election_ms = 400
        machine = mock.Mock()
        machine.state.changes.revision = 1
        self.nodes = FleetNodes(
            settings,
            self.replicator,
            machine,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            self.clock,
            lambda address, message: self.sent.append(message),
            mock.Mock(),
            mock.Mock(),
            RequestLimits(0.0),
        )

    def ratio(self, name, cores=None):
        """Return what the answer to a heartbeat tells; the first one states the capacity."""
        self.sent.clear()
        info = None
        if cores is not None:
            info = NodeInfo(name, "entry", "h", "d", f"tcp://{name}", cores=cores)
        heartbeat = Heartbeat(1, 0, 0, False, info)
        frame = Frame(PROTOCOL_VERSION, name, 1, f"tcp://{name}", heartbeat)
        self.nodes.on_frame(frame)
        return self.sent[0].capacity_ratio

    def test_entries_are_told_their_capacity_in_relation_to_the_mean(self):
        """Entries with little capacity would otherwise use as much of a limit as others."""
        self.ratio("a", 0.3)
        self.ratio("b", 0.9)
        self.assertTrue(self.nodes.are_capacities_uneven)
        self.clock.advance(SETTLE_S)
        self.assertAlmostEqual(self.ratio("a"), 0.5)
        self.assertAlmostEqual(self.ratio("b"), 1.5)

    def test_no_ratio_is_sent_while_entries_come(self):
        """A new leader that knows the largest entry only would take it for the mean."""
        self.assertEqual(self.ratio("a", 0.3), 0.0)
        self.clock.advance(SETTLE_S)
        self.assertEqual(self.ratio("b", 0.9), 0.0)
        self.assertEqual(self.ratio("a"), 0.0)

    def test_equal_or_unknown_capacities_are_even(self):
        """Deployments with equal entries would otherwise share loads."""
        for cores in (0.0, 0.387):
            self.setUp()
            for name in "abc":
                self.ratio(name, cores)
            self.clock.advance(SETTLE_S)
            self.assertEqual((self.ratio("a"), self.nodes.are_capacities_uneven), (1.0, False))

    def test_an_entry_that_is_gone_no_longer_counts(self):
        """The mean would otherwise stay wrong after a scale-down."""
        self.ratio("a", 0.3)
        self.ratio("b", 0.9)
        self.clock.advance(NODE_TIMEOUT_S)
        self.ratio("a")
        self.nodes.remove_silent()
        self.clock.advance(SETTLE_S)
        self.assertEqual((self.ratio("a"), self.nodes.are_capacities_uneven), (1.0, False))

    def test_a_follower_sends_no_ratio(self):
        """A follower knows only some of the entries."""
        self.replicator.is_leader = False
        self.ratio("a", 0.3)
        self.clock.advance(SETTLE_S)
        self.assertEqual(self.ratio("a"), 0.0)


if __name__ == "__main__":
    unittest.main()
