"""Fuzz test of members on failing disks, networks and clocks, checked after each step."""

import unittest

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from support_consensus import CLOCK_RATES, ELECTION_MS, SimulatedCluster
from support_disk import Crash
from support_fuzz import fuzz_settings, seeded

from hemlockdock_control.consensus.messages import TimeoutNow

EXAMPLES = 100
STEPS = 40
SLOW, FAST = CLOCK_RATES
FOUNDERS = ("a", "b", "c")
JOINERS = ("d", "e", "f")
ids = strategies.sampled_from(FOUNDERS + JOINERS)
seeds = strategies.integers(0, 2**16)


class ConsensusMachine(RuleBasedStateMachine):
    @initialize(seed=seeds, count=strategies.sampled_from((3, 5, 3, 2)))
    def begin(self, seed, count):
        self.cluster = SimulatedCluster(seed, count)
        self.cluster.run(30)

    @rule(rounds=strategies.integers(1, 25), busy=strategies.booleans())
    def run_well(self, rounds, busy):
        self.cluster.run(rounds, busy=busy)

    @rule(rounds=strategies.integers(1, 25), seed=seeds)
    def run_badly(self, rounds, seed):
        rng = self.cluster.rng
        rng.seed(seed)
        loss = rng.choice((0, 0.1, 0.4))
        self.cluster.run(rounds, loss, rng.choice((0, 0.2)), rng.random(), busy=True)

    @rule(position=strategies.integers(0, 50))
    def deliver_one(self, position):
        if self.cluster.in_flight:
            self.cluster.deliver(position % len(self.cluster.in_flight))
            self.cluster.turn_all()

    @rule(ms=strategies.sampled_from((1.0, 20.0, ELECTION_MS, 3 * ELECTION_MS)))
    def advance(self, ms):
        self.cluster.advance(ms)

    @rule(count=strategies.integers(1, 15), bursts=strategies.integers(1, 4))
    def work(self, count, bursts):
        for _ in range(bursts):
            self.cluster.run(20)
            self.cluster.propose_at_leaders(count)
        self.cluster.run(5)

    @rule(first=ids, second=ids)
    def cut_link(self, first, second):
        self.cluster.cut_links.add(frozenset((first, second)))

    @rule(before=strategies.integers(0, 3), times=strategies.integers(1, 4))
    def depose(self, before, times):
        """Cut a leader off whose clock is slow, and work on without it."""
        for _ in range(times):
            leader = self.slow_leader(before)
            if leader is None:
                return
            self.cluster.cut_off(leader.member_id)
            self.cluster.run(130, step_ms=1.0, busy=True)
            self.heal()
            self.cluster.run(10)

    @rule(before=strategies.integers(0, 3), count=strategies.integers(1, 2))
    def depose_unheard(self, before, count):
        """Cut a leader off after others could not hear it, and restart those that did."""
        leader = self.slow_leader(before)
        if leader is None:
            return
        peer_ids = leader.state.peer_ids
        for peer_id in peer_ids[:count]:
            self.cluster.cut_links.add(frozenset((leader.member_id, peer_id)))
        self.cluster.run(60, step_ms=1.0)
        self.cluster.cut_off(leader.member_id)
        for peer_id in peer_ids[count:]:
            self.crash(peer_id)
        self.restart_stopped()
        self.cluster.run(130, step_ms=1.0, busy=True)
        self.heal()

    def slow_leader(self, before):
        leader = self.cluster.leader()
        if leader is None:
            return None
        for member in self.cluster.up:
            member.set_rate(SLOW if member is leader else FAST)
        self.cluster.propose_at_leaders(before)
        return leader

    @rule(rounds=strategies.integers(1, 20))
    def time_out_together(self, rounds):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.cut_off(leader.member_id)
        self.cluster.advance(3 * ELECTION_MS)
        self.cluster.run(rounds, step_ms=1.0, busy=True)
        self.heal()

    @rule(rounds=strategies.integers(5, 60))
    def hand_over_late(self, rounds):
        """Let a request to take over arrive after the leader was cut off."""
        leader = self.cluster.leader()
        if leader is None:
            return
        self.cluster.transfer()
        late = self.cluster.take(TimeoutNow)
        self.cluster.run(30, step_ms=1.0)
        self.cluster.cut_off(leader.member_id)
        for _, receiver, message in late:
            self.cluster.in_flight.append((receiver, receiver, message))
        self.cluster.run(rounds, step_ms=1.0, busy=True)
        self.heal()

    @rule()
    def heal(self):
        self.cluster.cut_links.clear()

    @rule(member_id=ids)
    def crash(self, member_id):
        member = self.cluster.member_by_id.get(member_id)
        if member is not None:
            member.crash()

    @rule(first=ids, second=ids)
    def lose_two(self, first, second):
        self.crash(first)
        self.crash(second)
        self.cluster.run(10)

    @rule(
        member_id=ids,
        place=strategies.sampled_from(("append", "sync", "after sync", "sync folder")),
        error=strategies.sampled_from((Crash(), OSError("disk full"))),
    )
    def plan_fault(self, member_id, place, error):
        member = self.cluster.member_by_id.get(member_id)
        if member is not None:
            member.disk.fault = (place, error)

    @rule()
    def restart_stopped(self):
        self.cluster.restart_stopped()

    @rule(member_id=strategies.sampled_from(JOINERS))
    def join(self, member_id):
        self.cluster.add(member_id)
        self.cluster.run(12)
        self.cluster.promote(member_id)
        self.cluster.run(3)

    @rule(member_id=ids)
    def promote(self, member_id):
        self.cluster.promote(member_id)

    @rule(member_id=ids)
    def remove(self, member_id):
        self.cluster.remove(member_id)

    @rule()
    def transfer(self):
        self.cluster.transfer()

    @precondition(lambda self: len(self.cluster.founders.members) > 2)
    @rule(member_id=strategies.sampled_from(FOUNDERS))
    def empty_folder(self, member_id):
        # If a majority of the disks is lost, committed entries may be lost too.
        if not self.cluster.emptied:
            self.cluster.empty_folder(member_id)

    @rule()
    def settle(self):
        if not self.cluster.emptied:
            self.cluster.settle()

    @invariant()
    def holds(self):
        if hasattr(self, "cluster"):
            self.cluster.check()


ConsensusFuzzTest = seeded(ConsensusMachine.TestCase)
ConsensusFuzzTest.settings = fuzz_settings(EXAMPLES, STEPS)


if __name__ == "__main__":
    unittest.main()
