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


if __name__ == "__main__":
    unittest.main()
