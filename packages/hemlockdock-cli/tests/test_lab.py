"""Test that placement serves clients better than the baselines, simulated in virtual time."""

import logging
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from hemlockdock_cli.lab import plot_waits, result_lines, run_experiment
from hemlockdock_cli.lab.baselines import find_policy
from hemlockdock_cli.lab.engine import SimulatedEngine
from hemlockdock_cli.lab.scenario import POOL, SCENARIOS, generate_requests
from hemlockdock_control.fleet import model_choice
from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.registry import AgentReport, EndpointRegistry
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_core.messages import ChangeModels, DemandReport, ModelDemand
from hemlockdock_core.wire import ListedEndpoint

DURATION_S = 20.0
SEEDS = [101, 102]


def rows_by_policy_and_class(scenario):
    """Return the rows of an experiment by policy and class."""
    rows = run_experiment(scenario, ["rates", "lru", "static"], SEEDS, DURATION_S)
    return {(row.policy, row.traffic): row for row in rows}


class LeaderChangeTest(unittest.TestCase):
    def setUp(self):
        self.scenario = replace(SCENARIOS["grown"], engines=2, busy_models=1, rare_models=1)
        self.engines = [
            SimulatedEngine(self.scenario, "e0", on_disk=("m0",)),
            SimulatedEngine(self.scenario, "e1"),
        ]
        self.registry = EndpointRegistry()
        self.limits = RequestLimits(0.0)
        self.registry.set_directory(
            [
                ListedEndpoint(engine.name, POOL, engine.name, "d", 32, False, ())
                for engine in self.engines
            ]
        )

    def decided_changes(self, placement, model, now_s, term):
        """Return the changes that a leader decides while requests wait for a model."""
        board = DemandAggregator()
        demand = ModelDemand(POOL, model, 5, 5, 0, 0, 0, 1, 0)
        board.record_report("entry", DemandReport((demand,)), now_s)
        for engine in self.engines:
            self.registry.record_report(AgentReport(engine.name, 1, engine.report(now_s), now_s))
        rows = self.registry.rows(now_s, placement, self.limits)
        messages = placement.decide([self.scenario.pool], rows, self.registry, board, now_s, term)
        return [m.message for m in messages if isinstance(m.message, ChangeModels)]

    def test_a_new_leader_uses_the_store_while_engines_finish_exchanges_from_disk(self):
        first = self.decided_changes(Placement(), "m0", 10.0, 1)
        self.assertEqual([change.load for change in first], ["m0"])
        self.engines[0].accept_change(first[0])
        second = self.decided_changes(Placement(), "m1", 10.5, 2)
        self.assertEqual([(change.endpoint_id, change.load) for change in second], [("e1", "m1")])


class LabTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_every_request_has_one_outcome(self):
        for row in run_experiment("consultora", ["rates"], SEEDS[:1], DURATION_S):
            total = row.in_time + row.late + row.refused
            self.assertAlmostEqual(total, 100.0, places=6, msg=row.traffic)

    def test_the_same_seed_gives_the_same_outcome(self):
        first = run_experiment("consultora", ["rates"], SEEDS[:1], 10.0)
        self.assertEqual(first, run_experiment("consultora", ["rates"], SEEDS[:1], 10.0))

    def test_rates_policy_serves_rare_models_better_than_baselines(self):
        row_by_class = rows_by_policy_and_class("consultora")
        for baseline in ("lru", "static"):
            rates, other = row_by_class["rates", "report"], row_by_class[baseline, "report"]
            self.assertGreater(rates.in_time, other.in_time, baseline)
            self.assertLess(rates.refused, other.refused, baseline)
        for traffic in ("section", "label"):
            self.assertGreater(
                row_by_class["rates", traffic].in_time, row_by_class["lru", traffic].in_time
            )
            self.assertGreater(row_by_class["rates", traffic].in_time, 90.0)

    def test_rates_policy_favours_urgent_requests_when_models_do_not_fit(self):
        row_by_class = rows_by_policy_and_class("qalam")
        self.assertGreater(row_by_class["rates", "tag"].in_time, row_by_class["lru", "tag"].in_time)
        self.assertGreater(
            row_by_class["rates", "tag"].in_time, row_by_class["rates", "draft"].in_time
        )

    def test_popularity_shifts_over_time(self):
        scenario = SCENARIOS["consultora"]
        requests = [r for r in generate_requests(scenario, 1, 34.0) if r.traffic.name == "section"]
        early = [r.model for r in requests if r.first_arrival_s < scenario.shift_s]
        late = [r.model for r in requests if r.first_arrival_s > scenario.shift_s]
        self.assertEqual(max(set(early), key=early.count), "m0")
        self.assertEqual(max(set(late), key=late.count), "m2")

    def test_policy_from_a_file_is_compared_in_the_same_run(self):
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
            plot_waits(rows, str(path))
            self.assertIn(b"<svg", path.read_bytes())

    def test_the_table_has_a_line_for_each_class(self):
        rows = run_experiment("consultora", ["static"], SEEDS[:1], 5.0)
        self.assertEqual(len(result_lines(rows)), 1 + len(rows))


if __name__ == "__main__":
    unittest.main()
