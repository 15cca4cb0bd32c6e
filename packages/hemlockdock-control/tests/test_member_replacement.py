"""Test that lost and leaving control hosts are replaced, on simulated hosts and links."""

import unittest

from support_fleet_members import STEP_MS, FleetSimulation

from hemlockdock_control.consensus.membership_planner import (
    NON_VOTER_REMOVAL_TIMEOUT_MS,
    VOTER_REMOVAL_TIMEOUT_MS,
)

GRACE_MS = 8_000.0
CATCH_UP_MS = 6_000.0
SUCCESSOR_AFTER_MS = 1_000.0
RECOVER_MS = 15_000.0


class MemberReplacementTest(unittest.TestCase):
    def fleet(self, tolerated_losses, seed=67, stated=True):
        """Return a fleet that has founded its cluster."""
        fleet = self.enterContext(FleetSimulation(seed, tolerated_losses, stated))
        for host in list(fleet.host_by_ip.values()):
            host.start(first_start=True)
        fleet.run(3_000.0)
        return fleet

    def start_successor(self, fleet):
        host = fleet.add_host()
        host.start()
        return host

    def assert_in_control(self, fleet, hosts):
        """Check that exactly these hosts vote, and that nothing acknowledged is lost."""
        self.assertTrue(fleet.accepts_a_change(RECOVER_MS))
        self.assertEqual(fleet.voter_ips(), sorted(host.ip for host in hosts))
        held = fleet.leader().state_machine.commands
        self.assertEqual(set(fleet.acknowledged).difference(held), set())

    def lose_two_and_then_two_disks(self, stated):
        fleet = self.fleet(2, stated=stated)
        hosts = list(fleet.host_by_ip.values())
        for host in hosts[3:]:
            host.kill()
        fleet.run(SUCCESSOR_AFTER_MS)
        hosts[3:] = [self.start_successor(fleet) for _ in range(2)]
        fleet.run(CATCH_UP_MS)
        self.assert_in_control(fleet, hosts)
        for host in hosts[1:3]:
            host.kill()
            host.wipe()
        fleet.run(SUCCESSOR_AFTER_MS)
        for host in hosts[1:3]:
            host.start()
        fleet.run(RECOVER_MS)
        self.assert_in_control(fleet, hosts)

    def test_two_lost_hosts_vote_for_ever_once_both_successors_have_joined(self):
        # Guards against lost voters that are not removed because the number of voters is odd.
        self.lose_two_and_then_two_disks(stated=True)

    def test_two_lost_hosts_vote_for_ever_where_the_losses_to_tolerate_are_not_stated(self):
        # Guards against the same where the number of voters is derived from that of the members.
        self.lose_two_and_then_two_disks(stated=False)

    def lose_one_after_a_planned_replacement(self, leaves_as_leader, loss_after_ms):
        fleet = self.fleet(1)
        leader = fleet.leader()
        leaving, lost, staying = sorted(fleet.up, key=lambda host: host.leads == leaves_as_leader)[
            ::-1
        ]
        self.assertEqual(leaving is leader, leaves_as_leader)
        planned = self.start_successor(fleet)
        fleet.run(CATCH_UP_MS)
        leaving.stop()
        self.assertTrue(fleet.run_until(lambda: not leaving.is_up, GRACE_MS))
        fleet.run(loss_after_ms)
        lost.kill()
        fleet.run(SUCCESSOR_AFTER_MS)
        successor = self.start_successor(fleet)
        fleet.run(CATCH_UP_MS)
        self.assert_in_control(fleet, [planned, staying, successor])

    def test_one_loss_after_a_planned_replacement_ends_control(self):
        # Guards against a host that stops with a successor at hand and goes on counting.
        for leaves_as_leader in (False, True):
            for loss_after_ms in (0.0, 100.0, 1_000.0):
                with self.subTest(leads=leaves_as_leader, after_ms=loss_after_ms):
                    self.lose_one_after_a_planned_replacement(leaves_as_leader, loss_after_ms)

    def assert_replaced(self, fleet, leaving):
        """Stop hosts at the same time; check that as many new ones vote in their place."""
        staying = [host for host in fleet.up if host not in leaving]
        staying += [self.start_successor(fleet) for _ in leaving]
        fleet.run(CATCH_UP_MS)
        for host in leaving:
            host.stop()
        stopped = fleet.run_until(lambda: not any(host.is_up for host in leaving), GRACE_MS)
        self.assertTrue(stopped)
        self.assert_in_control(fleet, staying)

    def test_hosts_that_leave_at_the_same_time_pass_the_leadership_among_themselves(self):
        # Guards against two that leave and lead by turns, so that neither is replaced.
        fleet = self.fleet(1)
        leader = fleet.leader()
        other = next(host for host in fleet.up if host is not leader)
        self.assert_replaced(fleet, [leader, other])

    def test_all_voters_that_leave_at_the_same_time_leave_their_successors_without_a_leader(self):
        # Guards against a leader that waits for another voter to take over while all leave.
        fleet = self.fleet(1)
        self.assert_replaced(fleet, fleet.up)

    def test_a_host_that_stops_ends_before_its_removal_is_committed(self):
        # Guards against a removal that only the leader holds, which is lost next.
        fleet = self.fleet(1)
        leader = fleet.leader()
        leaving, staying = (host for host in fleet.up if host is not leader)
        successor = self.start_successor(fleet)
        fleet.run(CATCH_UP_MS)
        leaving.stop()
        self.assertTrue(fleet.run_until(lambda: fleet.commits_vote_of(successor), GRACE_MS))
        fleet.cut_pairs = {frozenset((leader.ip, host.ip)) for host in (staying, successor)}
        self.assertTrue(fleet.run_until(lambda: leaving.ip not in fleet.voter_ips(), GRACE_MS))
        fleet.run(20 * STEP_MS)
        leader.kill()
        fleet.cut_pairs.clear()
        second = self.start_successor(fleet)
        fleet.run(RECOVER_MS)
        self.assert_in_control(fleet, [staying, successor, second])

    def test_a_host_without_a_successor_stops_at_once_and_votes_again(self):
        # Guards against a restart that waits for a successor, or that costs a vote.
        fleet = self.fleet(1)
        hosts = fleet.up
        follower = next(host for host in hosts if not host.leads)
        follower.stop()
        self.assertFalse(follower.is_up)
        fleet.run(SUCCESSOR_AFTER_MS)
        follower.start()
        fleet.run(SUCCESSOR_AFTER_MS)
        self.assert_in_control(fleet, hosts)

    def test_each_transfer_of_leadership_delays_the_replacement_of_a_lost_host(self):
        # Guards against a new leader that begins to wait for a lost host anew.
        fleet = self.fleet(1)
        lost = next(host for host in fleet.up if not host.leads)
        successor = self.start_successor(fleet)
        fleet.run(CATCH_UP_MS)
        lost.kill()
        for _ in range(3):
            fleet.run(VOTER_REMOVAL_TIMEOUT_MS / 3.0)
            fleet.leader().transfer()
            fleet.run_until(lambda: fleet.leader() is not None, RECOVER_MS)
        fleet.run(SUCCESSOR_AFTER_MS)
        self.assertIn(successor.ip, fleet.voter_ips())

    def test_a_joining_host_is_removed_as_silent_before_it_could_reply(self):
        # Guards against silence that is counted from the leader's election.
        fleet = self.fleet(1)
        fleet.run(NON_VOTER_REMOVAL_TIMEOUT_MS)
        joining = self.start_successor(fleet)
        fleet.run_until(lambda: joining.ip in fleet.member_ips(), CATCH_UP_MS)
        joining.is_cut = True
        fleet.run(SUCCESSOR_AFTER_MS)
        self.assertIn(joining.ip, fleet.member_ips())


if __name__ == "__main__":
    unittest.main()
