"""Test simulated days on which models are requested that only the weight store has."""

import itertools
import logging
import random
import unittest

from hemlockdock_cli.lab.absent_models import DURATION_S, day_scenario, simulate_day
from hemlockdock_cli.lab.disturbances import (
    EngineCrash,
    EngineReplacement,
    LeaderLoss,
    draw_disturbances,
)
from hemlockdock_cli.lab.simulation import Simulation
from hemlockdock_control.fleet.model_choice import ModelChoice

LOAD_S = 13.2
# A second load ends hardly later than in turn if it begins this soon after the first.
TOGETHER_S = 0.1 * LOAD_S


class DisturbancesTest(unittest.TestCase):
    def test_each_day_has_every_kind(self):
        engines = [f"e{number}" for number in range(26)]
        for seed in range(20):
            drawn = draw_disturbances(random.Random(seed), engines)
            kinds = {type(disturbance) for disturbance in drawn}
            self.assertEqual(kinds, {EngineCrash, EngineReplacement, LeaderLoss})


class AbsentModelsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_day_leaves_fewer_models_than_the_bound_and_the_same_seed_leaves_the_same(self):
        scenario = day_scenario(LOAD_S, 1)
        row = simulate_day(scenario, ModelChoice, 1)
        self.assertGreaterEqual(row.never_served, row.bound)
        self.assertGreater(row.bound, 0)
        self.assertEqual(row, simulate_day(scenario, ModelChoice, 1))

    def test_no_load_begins_in_the_middle_of_another_on_a_store_that_supports_one(self):
        for seed in (1, 2, 3):
            row = simulate_day(day_scenario(LOAD_S, 1), ModelChoice, seed)
            for before, load in itertools.pairwise(row.store_loads):
                begins_together = load.begun_s - before.begun_s <= TOGETHER_S
                self.assertTrue(load.concurrent == 1 or begins_together, (seed, before, load))

    def test_a_store_that_supports_four_loads_is_measured_by_the_first_that_clients_ask_for(self):
        for seed in (1, 2, 3):
            scenario = day_scenario(LOAD_S, 4)
            loads = Simulation(scenario, ModelChoice, seed, DURATION_S, ()).run().store_loads
            asked = [load for load in loads if load.begun_s >= 0.0]
            self.assertEqual(len(loads) - len(asked), 1, seed)
            self.assertLessEqual(asked[1].begun_s - asked[0].begun_s, TOGETHER_S, seed)
            measured_s = asked[0].begun_s + LOAD_S + TOGETHER_S
            most = max(load.concurrent for load in asked if load.begun_s < measured_s)
            self.assertGreater(most, 2, seed)

    def test_a_store_is_measured_by_the_first_that_clients_ask_for_also_on_days_with_crashes(self):
        for seed in (1, 2, 3):
            loads = simulate_day(day_scenario(LOAD_S, 4), ModelChoice, seed).store_loads
            asked = [load for load in loads if load.begun_s >= 0.0]
            self.assertLessEqual(asked[1].begun_s - asked[0].begun_s, TOGETHER_S, seed)


if __name__ == "__main__":
    unittest.main()
