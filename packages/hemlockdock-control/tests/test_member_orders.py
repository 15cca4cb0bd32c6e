"""Search for orders of losses, stops and replacements after which no member can lead.

FUZZ_EXAMPLES sets the number of orders, and FUZZ_SEED the first seed.
"""

import os
import unittest

from support_fleet_members import FleetSimulation
from support_member_orders import MemberOrders

ORDERS = int(os.environ.get("FUZZ_EXAMPLES", "100"))
FIRST_SEED = int(os.environ.get("FUZZ_SEED", "0"))
STEPS = 16
CHANGE_MS = 5_000.0


class MemberOrdersTest(unittest.TestCase):
    def test_an_order_of_tolerated_losses_ends_control_or_loses_a_change(self):
        # Guards against quorums that count members which cannot answer.
        for seed in range(FIRST_SEED, FIRST_SEED + ORDERS):
            tolerated_losses = 1 + seed % 2
            with FleetSimulation(seed, tolerated_losses) as fleet:
                orders = MemberOrders(fleet)
                orders.play(STEPS)
                told = f"seed {seed}:\n" + "\n".join(orders.history)
                self.assertTrue(fleet.accepts_a_change(CHANGE_MS), f"no leader, {told}")
                held = fleet.leader().state_machine.commands
                self.assertFalse(set(fleet.acknowledged).difference(held), f"lost, {told}")
                voter_ips = fleet.voter_ips()
                self.assertEqual(len(voter_ips), 2 * tolerated_losses + 1, told)
                gone = set(voter_ips).difference(host.ip for host in fleet.up)
                self.assertFalse(gone, f"voters that are gone, {told}")


if __name__ == "__main__":
    unittest.main()
