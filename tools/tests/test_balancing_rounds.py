"""Test over several entries that endpoints of uneven speed are loaded evenly by old reports."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.balancing_rounds import BalancingScenario  # noqa: E402
from benchmarks.bench_balancing import (  # noqa: E402
    AGES_S,
    SEED,
    UNEVENNESS_BOUND,
    BalancingRounds,
)


class BalancingRoundsTest(unittest.TestCase):
    def play(self, policy="reports", **values):
        scenario = BalancingScenario(play_s=10.0, **values)
        return BalancingRounds(SEED, scenario, policy).play()

    def assert_even(self, **values):
        for age_s in AGES_S:
            with self.subTest(age_s=age_s):
                result = self.play(age_s=age_s, **values)
                self.assertLessEqual(result.unevenness, UNEVENNESS_BOUND)

    def test_one_entry_loads_endpoints_evenly(self):
        """One entry knows all requests; it must not wait for reports to even out loads."""
        self.assert_even(entries=1, endpoints=3)

    def test_few_entries_load_endpoints_evenly(self):
        """Entries that know only their own requests overload slow endpoints."""
        self.assert_even(entries=30, endpoints=3)

    def test_many_entries_do_not_follow_the_same_report_together(self):
        """Loads swing if all entries choose the endpoint that was reported as least loaded."""
        self.assert_even(entries=300, endpoints=3)
        self.assertLess(self.play(entries=300, endpoints=3, age_s=1.0).peak, 1.5)

    def test_summaries_of_limited_size_keep_loads_even(self):
        """Endpoints that are in few summaries could be overloaded in between."""
        result = self.play(entries=8, endpoints=29, slots=8, age_s=0.2, is_limited=True)
        self.assertLessEqual(result.unevenness, UNEVENNESS_BOUND)

    def test_requests_wait_less_than_without_reports(self):
        """The limit for unknown loads makes requests wait while endpoints have free slots."""
        reports = self.play(entries=1, endpoints=3, age_s=1.0)
        health_tracker = self.play("health_tracker", entries=1, endpoints=3, age_s=1.0)
        self.assertLess(reports.wait_s, health_tracker.wait_s)


if __name__ == "__main__":
    unittest.main()
