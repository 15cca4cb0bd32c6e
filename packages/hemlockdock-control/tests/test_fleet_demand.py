"""Test the totals of the demand that entries report."""

import random
import unittest

from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_core.messages import DemandReport, ModelDemand

ENTRIES = ("e0", "e1", "e2")


class TotalsTest(unittest.TestCase):
    def test_totals_are_the_sums_of_the_latest_reports_of_entries_that_are_there(self):
        rng = random.Random(3)
        board = DemandAggregator()
        latest = {}
        for step in range(300):
            entry = rng.choice(ENTRIES)
            if rng.random() < 0.1:
                board.forget_entry(entry)
                latest.pop(entry, None)
            else:
                waiting, in_flight, returning = (rng.randrange(5) for _ in range(3))
                report = ModelDemand("p", "m", step, waiting, in_flight, 0, 0, 1, returning)
                board.record_report(entry, DemandReport((report,)), float(step))
                latest[entry] = report
            use = board.demand_by_model.get(("p", "m"))
            if use is None:
                continue
            for name in ("waiting", "in_flight", "returning"):
                expected = sum(getattr(report, name) for report in latest.values())
                self.assertEqual(getattr(use, name), expected)


class LatelyAskedTest(unittest.TestCase):
    def setUp(self):
        self.board = DemandAggregator()

    def report(self, entry_id, arrivals, lately, now_s):
        demand = ModelDemand("p", "m", arrivals, 0, 0, 0, 0, 1, 0, lately)
        self.board.record_report(entry_id, DemandReport((demand,)), now_s)
        return self.board.demand_by_model[("p", "m")]

    def test_a_new_leader_does_not_take_all_requests_since_the_entries_began_for_recent_ones(self):
        use = self.report("e0", 90_000, 0.6, 10.0)
        self.assertAlmostEqual(use.lately_asked(10.0), 0.6)
        self.assertLess(use.rate_now(10.0), 1.0)

    def test_a_new_leader_learns_what_was_asked_for_lately_from_the_entries(self):
        self.report("e0", 7, 6.0, 10.0)
        use = self.report("e1", 5, 4.5, 10.0)
        self.assertAlmostEqual(use.lately_asked(10.0), 10.5)
        use = self.report("e0", 8, 7.0, 10.0)
        self.assertAlmostEqual(use.lately_asked(10.0), 11.5)

    def test_what_an_entry_counted_before_it_was_started_anew_is_not_forgotten(self):
        self.report("e0", 7, 6.0, 10.0)
        use = self.report("e0", 1, 1.0, 10.0)
        self.assertAlmostEqual(use.lately_asked(10.0), 7.0)

    def test_what_was_asked_for_at_an_entry_that_is_gone_counts_on_and_leaves_no_state(self):
        self.report("e0", 7, 6.0, 10.0)
        self.board.forget_entry("e0")
        use = self.board.demand_by_model[("p", "m")]
        self.assertAlmostEqual(use.lately_asked(10.0), 6.0)
        self.assertEqual(use.asked_by_entry, {})


if __name__ == "__main__":
    unittest.main()
