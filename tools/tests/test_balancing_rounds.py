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

    def test_one_entry(self):
        self.assert_even(entries=1, endpoints=3)

    def test_few_entries_and_few_endpoints(self):
        self.assert_even(entries=30, endpoints=3)

    def test_many_entries_do_not_follow_the_same_report_together(self):
        # Guards against loads that swing, as by the least expected load of three candidates.
        self.assert_even(entries=300, endpoints=3)
        self.assertLess(self.play(entries=300, endpoints=3, age_s=1.0).peak, 1.5)

    def test_summaries_of_limited_size(self):
        result = self.play(entries=8, endpoints=29, slots=8, age_s=0.2, is_limited=True)
        self.assertLessEqual(result.unevenness, UNEVENNESS_BOUND)

    def test_requests_wait_less_than_by_the_choice_without_reports(self):
        reports = self.play(entries=1, endpoints=3, age_s=1.0)
        today = self.play("today", entries=1, endpoints=3, age_s=1.0)
        self.assertLess(reports.wait_s, today.wait_s)


if __name__ == "__main__":
    unittest.main()
