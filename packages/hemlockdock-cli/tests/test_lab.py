"""Test that placement serves clients better than simpler ways, on loads played in virtual time."""

import logging
import tempfile
import unittest
from pathlib import Path

from hemlockdock_cli.lab import draw_waits, run_experiment, table
from hemlockdock_cli.lab.baselines import find_policy
from hemlockdock_cli.lab.scenario import SCENARIOS, draw_requests
from hemlockdock_control.fleet import model_choice

SECONDS = 20.0
SEEDS = [101, 102]


def shares(scenario):
    """Return the rows of an experiment by policy and class."""
    rows = run_experiment(scenario, ["rates", "lru", "static"], SEEDS, SECONDS)
    return {(row.policy, row.traffic): row for row in rows}


class LabTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_every_request_has_one_outcome(self):
        for row in run_experiment("consultora", ["rates"], SEEDS[:1], SECONDS):
            total = row.in_time + row.late + row.refused
            self.assertAlmostEqual(total, 100.0, places=6, msg=row.traffic)

    def test_the_same_seed_gives_the_same_outcome(self):
        first = run_experiment("consultora", ["rates"], SEEDS[:1], 10.0)
        self.assertEqual(first, run_experiment("consultora", ["rates"], SEEDS[:1], 10.0))

    def test_rare_models_are_served_and_busy_ones_not_worse_off(self):
        found = shares("consultora")
        for baseline in ("lru", "static"):
            rates, other = found["rates", "report"], found[baseline, "report"]
            self.assertGreater(rates.in_time, other.in_time, baseline)
            self.assertLess(rates.refused, other.refused, baseline)
        for traffic in ("section", "label"):
            self.assertGreater(found["rates", traffic].in_time, found["lru", traffic].in_time)
            self.assertGreater(found["rates", traffic].in_time, 90.0)

    def test_more_urgent_requests_are_not_worse_off_by_much_where_models_do_not_fit(self):
        found = shares("qalam")
        self.assertGreater(found["rates", "tag"].in_time, found["lru", "tag"].in_time)
        self.assertGreater(found["rates", "tag"].in_time, found["rates", "draft"].in_time)

    def test_demand_moves_on(self):
        scenario = SCENARIOS["consultora"]
        requests = [r for r in draw_requests(scenario, 1, 34.0) if r.traffic.name == "section"]
        early = [r.model for r in requests if r.at_s < scenario.shift_s]
        late = [r.model for r in requests if r.at_s > scenario.shift_s]
        self.assertEqual(max(set(early), key=early.count), "m0")
        self.assertEqual(max(set(late), key=late.count), "m2")

    def test_another_version_is_compared_in_the_same_run(self):
        other = model_choice.__file__
        rows = run_experiment("consultora", ["rates", other], SEEDS[:1], 5.0)
        outcomes = [(row.in_time, row.late, row.refused) for row in rows]
        self.assertEqual(outcomes[: len(outcomes) // 2], outcomes[len(outcomes) // 2 :])
        self.assertIsNot(find_policy(other), find_policy("rates"))
        with self.assertRaises(KeyError):
            find_policy("no-such-file.py")

    def test_a_plot_shows_every_class(self):
        rows = run_experiment("consultora", ["static"], SEEDS[:1], 5.0)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "waits.svg"
            draw_waits(rows, str(path))
            self.assertIn(b"<svg", path.read_bytes())

    def test_the_table_has_a_line_for_each_class(self):
        rows = run_experiment("consultora", ["static"], SEEDS[:1], 5.0)
        self.assertEqual(len(table(rows)), 1 + len(rows))


if __name__ == "__main__":
    unittest.main()
