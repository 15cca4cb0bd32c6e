"""Tests of single failures: clock drift, leadership transfer, member replacement, lost disks."""

import unittest

from support_consensus import ELECTION_MS, HEARTBEAT_MS, SNAPSHOT_ENTRIES, SimulatedCluster

from hemlockdock_control.consensus.errors import ChangeRefusedError, NotLeaderError
from hemlockdock_control.consensus.member_changes import (
    ChangeRefusal,
    Promote,
    Remove,
    replacement_steps,
)
from hemlockdock_control.consensus.messages import AppendReply, AppendRequest, TimeoutNow
from hemlockdock_control.storage.errors import StorageFailedError

SEEDS = range(12)
SLOW_LEADER = {"a": 0.9, "b": 1.1, "c": 1.1}


def run_isolated(cluster):
    cluster.run(150, step_ms=1.0, busy=True)


class LeaseTest(unittest.TestCase):
    """Guard against stale reads under a lease.

    After each round the simulation checks that a member with a lease has applied every committed
    entry.
    """

    def test_the_lease_of_a_leader_with_a_slow_clock_expires_in_time(self):
        for seed in SEEDS:
            cluster = SimulatedCluster(seed, 3, SLOW_LEADER)
            cluster.elect("a")
            cluster.run(10)
            cluster.cut_off("a")
            run_isolated(cluster)

    def test_a_lease_counts_from_when_its_heartbeat_was_sent(self):
        for seed in SEEDS:
            cluster = SimulatedCluster(seed, 3, SLOW_LEADER)
            leader = cluster.elect("a")
            cluster.run(10)
            late = cluster.take(AppendReply, "a")
            cluster.cut_off("a")
            cluster.run(60, step_ms=1.0)
            cluster.cut_links.clear()
            cluster.in_flight = late
            for _ in late:
                cluster.deliver(0)
            leader.turn()
            cluster.cut_off("a")
            run_isolated(cluster)

    def test_a_restarted_voter_delays_its_vote(self):
        for seed in SEEDS:
            cluster = SimulatedCluster(seed, 3, SLOW_LEADER)
            cluster.elect("a")
            cluster.run(10)
            cluster.cut_links.add(frozenset("ac"))
            cluster.run(50, step_ms=1.0)
            cluster.cut_off("a")
            cluster.member_by_id["b"].crash()
            cluster.restart_stopped()
            run_isolated(cluster)

    def test_a_late_leadership_transfer_finds_no_lease(self):
        for seed in SEEDS:
            cluster = SimulatedCluster(seed, 3, SLOW_LEADER)
            cluster.elect("a")
            cluster.run(10)
            cluster.transfer()
            late = cluster.take(TimeoutNow)
            self.assertTrue(late)
            cluster.run(30, step_ms=1.0)
            cluster.cut_off("a")
            _, receiver, message = late[0]
            cluster.in_flight.append(("c" if receiver == "b" else "b", receiver, message))
            run_isolated(cluster)

    def test_a_leader_isolated_for_long_neither_serves_reads_nor_disturbs_the_term(self):
        cluster = SimulatedCluster(1)
        old = cluster.elect("a")
        cluster.cut_off("a")
        cluster.run(200, busy=True)
        self.assertFalse(old.task.core.has_lease(old.now_ms()))
        self.assertFalse(old.state.is_leader)
        term = cluster.leader().state.term
        cluster.cut_links.clear()
        cluster.run(200, busy=True)
        self.assertEqual(cluster.leader().state.term, term)
        cluster.settle()

    def test_a_deposed_leader_reports_unknown_outcomes(self):
        cluster = SimulatedCluster(7)
        leader = cluster.elect("a")
        cluster.run(10)
        cluster.propose(leader, 2)
        cluster.take(AppendRequest)
        cluster.cut_off("a")
        cluster.propose(leader, 3)
        cluster.run(100, step_ms=2.0)
        self.assertEqual(len(cluster.uncertain), 5)
        cluster.settle()
        self.assertEqual(cluster.acknowledged, [])


class LeadershipTransferTest(unittest.TestCase):
    def test_another_member_leads_at_once_and_nothing_is_lost(self):
        cluster = SimulatedCluster(2)
        cluster.elect("a")
        cluster.propose_at_leaders(20)
        started_ms = cluster.now_ms
        cluster.transfer()
        while cluster.leader() is None or cluster.leader().member_id == "a":
            cluster.run(1, step_ms=1.0)
        self.assertLess(cluster.now_ms - started_ms, ELECTION_MS / 2)
        cluster.settle()
        self.assertEqual(len(cluster.acknowledged), 20)


class MemberReplacementTest(unittest.TestCase):
    def replace(self, cluster):
        """Crash member c and replace it by d."""
        cluster.member_by_id["c"].crash()
        cluster.run(10, busy=True)
        cluster.add("d")
        cluster.run(30, step_ms=HEARTBEAT_MS)
        self.assertEqual(cluster.promote("d"), [])
        cluster.run(5)
        self.assertEqual(cluster.remove("c"), [])
        cluster.run(5)

    def test_a_second_host_is_lost_right_after_a_replacement(self):
        for lost in "ab":
            cluster = SimulatedCluster(3)
            cluster.elect("a")
            cluster.propose_at_leaders(40)
            self.replace(cluster)
            cluster.member_by_id[lost].crash()
            before = len(cluster.acknowledged)
            cluster.run(200, busy=True)
            self.assertGreater(len(cluster.acknowledged), before)

    def test_a_successor_that_fails_beside_the_lost_member_ends_control(self):
        # Guards against a lost member and its successor that count at the same time.
        cluster = SimulatedCluster(3)
        cluster.elect("a")
        cluster.member_by_id["c"].crash()
        cluster.run(10, busy=True)
        cluster.add("d")
        cluster.run(30, step_ms=HEARTBEAT_MS)
        leader = cluster.leader()
        steps = replacement_steps("c", "d", leader.state, leader.now_ms()).ok()
        self.assertEqual(cluster.change(steps[0]), [])
        cluster.run(5)
        cluster.member_by_id["d"].crash()
        before = len(cluster.acknowledged)
        cluster.run(200, busy=True)
        self.assertGreater(len(cluster.acknowledged), before)

    def test_a_voter_that_replies_is_removed_after_its_successor_was_promoted(self):
        cluster = SimulatedCluster(3)
        leader = cluster.elect("a")
        cluster.add("d")
        cluster.run(30, step_ms=HEARTBEAT_MS)
        steps = replacement_steps("c", "d", leader.state, leader.now_ms()).ok()
        self.assertEqual(steps, (Promote("d"), Remove("c")))
        cluster.member_by_id["c"].crash()
        cluster.cut_off("d")
        cluster.run(30, step_ms=HEARTBEAT_MS)
        refused = replacement_steps("c", "d", leader.state, leader.now_ms())
        self.assertIs(refused.err(), ChangeRefusal.CATCHING_UP)

    def test_a_member_that_cannot_be_reached_is_not_promoted(self):
        cluster = SimulatedCluster(3)
        cluster.elect("a")
        cluster.propose_at_leaders(40)
        cluster.run(10)
        cluster.add("d")
        cluster.cut_off("d")
        cluster.run(30)
        refused = cluster.promote("d")[0].value
        self.assertIsInstance(refused, ChangeRefusedError)
        self.assertIs(refused.reason, ChangeRefusal.CATCHING_UP)

    def test_a_removed_leader_stops_leading(self):
        cluster = SimulatedCluster(4)
        cluster.elect("a")
        cluster.remove("a")
        cluster.run(200)
        self.assertIn(cluster.leader().member_id, "bc")
        self.assertEqual(sorted(cluster.leader().state.configuration.voter_ids), ["b", "c"])

    def test_a_leader_that_was_removing_itself_may_lead_again(self):
        cluster = SimulatedCluster(4, 2)
        cluster.elect("a")
        cluster.propose_at_leaders(3)
        cluster.remove("a")
        cluster.cut_off("a")
        cluster.run(60)
        self.assertEqual(cluster.settle().state.configuration.voter_ids, ["b"])

    def test_a_non_voter_that_does_not_know_of_its_promotion_votes(self):
        cluster = SimulatedCluster(3)
        leader = cluster.elect("a")
        cluster.member_by_id["c"].crash()
        cluster.add("d")
        cluster.run(30)
        cluster.promote("d")
        self.assertIn("d", leader.state.configuration.voter_ids)
        leader.crash()
        cluster.in_flight.clear()
        leader.start()
        cluster.run(300, busy=True)
        self.assertIsNotNone(cluster.leader())
        self.assertGreater(len(cluster.acknowledged), 0)

    def test_an_emptied_folder_loses_no_committed_entry(self):
        for seed in SEEDS:
            cluster = SimulatedCluster(seed)
            cluster.elect("a")
            cluster.add("d")
            cluster.run(20)
            cluster.cut_off("b")
            cluster.propose_at_leaders(6)
            cluster.run(20, step_ms=1.0)
            cluster.empty_folder("c")
            cluster.run(8, step_ms=1.0)
            cluster.member_by_id["a"].crash()
            cluster.cut_links.clear()
            cluster.run(150)
            self.assertIsNone(cluster.leader())
            cluster.member_by_id["a"].start()
            cluster.run(150, busy=True)
            self.assertGreater(len(cluster.acknowledged), 6)


class LongTailTest(unittest.TestCase):
    def test_members_are_silent_while_they_apply_a_long_tail(self):
        # Guards against a restart whose tail is applied in one turn, longer than an election.
        cluster = SimulatedCluster(7)
        cluster.elect("a")
        cluster.propose_at_leaders(8)
        cluster.run(20)
        for member in cluster.up:
            member.crash()
        cluster.apply_ms = HEARTBEAT_MS
        leader = cluster.settle()
        self.assertEqual(len(leader.state_machine.commands), 8)
        self.assertLess(cluster.longest_turn_ms, ELECTION_MS / 2)

    def test_a_leader_that_has_not_applied_all_answers_no_read_without_it(self):
        # Guards against reads that are older than what was acknowledged before the election.
        for seed in range(20):
            cluster = SimulatedCluster(seed)
            cluster.apply_ms = HEARTBEAT_MS
            for _ in range(3):
                for _ in range(8):
                    cluster.propose_at_leaders(4)
                    cluster.run(5, loss=0.05, busy=True)
                for member in cluster.up:
                    member.crash()
                cluster.restart_stopped()
            cluster.settle()
            self.assertGreater(len(cluster.acknowledged), 0)

    def test_a_leader_with_a_lease_lacks_what_a_follower_may_have_applied(self):
        # Guards against decisions and reads of a state that others have already left behind.
        cluster = SimulatedCluster(9)
        leader = cluster.elect("a")
        cluster.apply_ms = HEARTBEAT_MS
        reads = []
        for number in range(6):
            leader.task.propose(b"%d " % number + b"x" * 100_000)
        for _ in range(50):
            cluster.run(1, step_ms=1.0)
            if not leader.task.is_caught_up:
                self.assertFalse(leader.task.has_lease)
                begun = leader.task.read_barrier().addErrback(lambda _: None)
                self.assertFalse(begun.called)
                reads.append(begun)
        self.assertGreater(len(reads), 0)
        self.assertTrue(all(read.called for read in reads))

    def test_a_restart_applies_a_tail_of_any_size(self):
        # Guards against a tail that is bounded by its entries only, whose size operators choose.
        cluster = SimulatedCluster(8)
        leader = cluster.elect("a")
        for number in range(SNAPSHOT_ENTRIES - 3):
            leader.task.propose(b"%d " % number + b"x" * 400_000)
            cluster.run(5)
        log = leader.state.log
        tail = log.slice(leader.state.snapshot.index + 1, log.last_index)
        self.assertGreater(leader.state.snapshot.index, 0)
        self.assertLess(sum(len(entry.data) for entry in tail), 3_000_000)
        self.assertEqual(len(cluster.settle().state_machine.commands), SNAPSHOT_ENTRIES - 3)


class FailedDiskTest(unittest.TestCase):
    def test_a_full_disk_ends_leadership_until_a_restart(self):
        for place in ("append", "sync"):
            cluster = SimulatedCluster(5)
            leader = cluster.elect("a")
            leader.disk.fault = (place, OSError("no space left on device"))
            cluster.propose_at_leaders(1)
            self.assertIsInstance(leader.task.failure, StorageFailedError)
            self.assertFalse(leader.state.is_leader)
            cluster.in_flight.clear()
            cluster.run(100, busy=True)
            self.assertNotIn("a", {sender for sender, _, _ in cluster.in_flight})
            self.assertIsInstance(leader.task.failure, StorageFailedError)
            failures = []
            leader.task.propose(b"x").addErrback(lambda f, seen=failures: seen.append(f.value))
            self.assertIsInstance(failures[0], NotLeaderError)
            cluster.settle()

    def test_a_late_member_catches_up_by_a_snapshot_in_chunks(self):
        cluster = SimulatedCluster(6)
        cluster.elect("a")
        cluster.cut_off("c")
        for _ in range(20):
            cluster.propose_at_leaders(10)
            cluster.run(5)
        self.assertGreater(cluster.leader().state.log.base_index, 100)
        cluster.settle()
        self.assertEqual(len(cluster.member_by_id["c"].state_machine.commands), 200)
        cluster.take(AppendRequest)


if __name__ == "__main__":
    unittest.main()
