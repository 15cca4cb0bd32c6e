"""Test that lost and leaving control hosts are replaced, on simulated hosts and links."""

import unittest

from support_fleet_members import FleetSimulation

from hemlockdock_control.consensus.membership_planner import (
    NON_VOTER_REMOVAL_TIMEOUT_MS,
)

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
