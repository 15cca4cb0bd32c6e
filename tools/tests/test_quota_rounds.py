"""Test over several entries and the leader that they keep to a customer's quota together."""

import logging
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.bench_quotas import (
    BELOW,
    EVENTS,
    KEPT_BOUND,
    REFUSAL_BOUND_S,
    SEED,
    USED_BOUND,
)  # noqa: E402
from benchmarks.quota_rounds import QuotaRounds, QuotaScenario  # noqa: E402

PER_S = 4_000.0
BURST = 10_000.0


class QuotaRoundsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, **more):
        scenario = QuotaScenario(per_s=PER_S, burst=BURST, play_s=24.0, **more)
        result = QuotaRounds(SEED, scenario).play()
        self.assertLessEqual(result.excess, 1.0)
        return result

    def test_the_quota_is_used_and_not_exceeded_however_the_traffic_is_spread(self):
        """Guards against shares per entry, which uneven traffic cannot use or exceeds together."""
        for entries in (1, 5, 30):
            for uneven in (False, True):
                with self.subTest(entries=entries, uneven=uneven):
                    result = self.play(entries=entries, uneven=uneven)
                    self.assertGreaterEqual(result.used, USED_BOUND)
                    self.assertLessEqual(result.slowest_refusal_s, REFUSAL_BOUND_S)
                    self.assertEqual(result.unanswered, 0)

    def test_a_client_that_retries_when_told_is_served(self):
        """Guards against a Retry-After that does not hold."""
        result = self.play(entries=5)
        self.assertGreater(result.returned, 0)
        self.assertGreaterEqual(result.kept, KEPT_BOUND * result.returned)

    def test_no_request_is_refused_below_the_quota(self):
        """Guards against tokens that are lost to credit, reservations or messages."""
        for uneven in (False, True):
            result = self.play(entries=30, uneven=uneven, load=BELOW)
            self.assertEqual((result.refused, result.unanswered), (0, 0))

    def test_the_bound_holds_after_each_event(self):
        """Guards against a second use of tokens by a new leader, or by entries without one."""
        for event in EVENTS:
            for uneven in (False, True):
                with self.subTest(event=event, uneven=uneven):
                    self.play(entries=5, uneven=uneven, event=event)

    def test_the_quota_is_used_though_no_client_retries(self):
        """Guards against reservations that are lost to other requests."""
        result = self.play(entries=5, returning=False)
        self.assertGreaterEqual(result.used, USED_BOUND)


if __name__ == "__main__":
    unittest.main()
