"""Test the timestamps of commands and the handling of a lost leader."""

import unittest

from support import FakeReplicator, settings
from twisted.internet.task import Clock
from twisted.trial import unittest as trial_unittest

from hemlockdock_control.service.proposer import Proposer
from hemlockdock_control.state import ClusterStateMachine
from hemlockdock_core.commands import ReleaseQuarantine
from hemlockdock_core.errors import ErrorKind

WALL_MS = 1_796_000_000_000


class ProposerTest(trial_unittest.SynchronousTestCase):
    def test_commands_are_stamped_with_the_wall_clock(self):
        clock = Clock()
        machine = ClusterStateMachine(settings())
        replicator = FakeReplicator(clock, settings(), machine)
        replicator.start()
        proposer = Proposer(clock, replicator, machine, lambda: WALL_MS)
        proposer.propose(ReleaseQuarantine("f", "operator", 0))
        clock.advance(1.0)
        self.assertEqual(machine.state.now_ms, WALL_MS)

    def test_give_up_completes_relayed_commands_with_unknown_outcome(self):
        replicator = FakeReplicator(Clock(), settings(), None)
        replicator.leader_id = "control-2"
        proposer = Proposer(Clock(), replicator, None)
        outcome = proposer.propose(ReleaseQuarantine("f", "operator", 0))
        self.assertNoResult(outcome)
        proposer.cancel_pending()
        refusal = self.successResultOf(outcome).refusal
        self.assertEqual(refusal.kind, ErrorKind.OUTCOME_UNKNOWN)


if __name__ == "__main__":
    unittest.main()
