"""Test that an entry's shares of limits follow its capacity."""

import unittest

from support_gateway import GatewayTestCase

from hemlockdock_core.rows import PoolRow


class UnevenEntryTest(GatewayTestCase):
    def usable_connections(self, entries, ratio):
        """Return how many requests an entry runs at one endpoint that takes 10 connections."""
        self.setUp()
        self.harness.link.entries = entries
        self.harness.link.capacity_ratio = ratio
        self.harness.delete_row("endpoint/b")
        for _ in range(12):
            self.send()
        return len(self.waiting_ports)

    def test_equal_entries_share_connections_equally(self):
        """Entries would together exceed the limit of an endpoint."""
        self.assertEqual(self.harness.link.table.pool_by_name["shop"], PoolRow("shop", "/", 10))
        for entries, share in ((1, 10), (2, 5), (3, 3), (10, 1), (99, 1)):
            self.assertEqual(self.usable_connections(entries, 1.0), share)

    def test_connections_follow_the_capacity(self):
        """A large entry would have too few connections for its requests."""
        self.assertEqual(self.usable_connections(2, 0.5), 2)
        self.assertEqual(self.usable_connections(2, 1.5), 7)

    def test_the_slack_of_the_retry_budget_follows_the_capacity(self):
        """A large entry would have too few retries for its requests."""
        found = []
        for ratio in (0.5, 1.0, 1.5):
            self.setUp()
            self.harness.link.entries = 2
            self.harness.link.capacity_ratio = ratio
            budget = self.harness.gateway.endpoints.retry_budget("lm")
            spent = 0
            while budget.try_spend(0.0, self.harness.gateway.share_divisor):
                spent += 1
            found.append(spent)
        # 0.8 of the slack of 10 for two entries.
        self.assertEqual(found, [2, 4, 6])


if __name__ == "__main__":
    unittest.main()
