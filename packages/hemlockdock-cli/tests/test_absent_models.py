"""Test simulated days on which models are requested that only the weight store has."""

import logging
import random
import unittest

from hemlockdock_cli.lab.absent_models import day_scenario, simulate_day
from hemlockdock_cli.lab.disturbances import (
    EngineCrash,
    EngineReplacement,
    LeaderLoss,
    draw_disturbances,
)
from hemlockdock_control.fleet.model_choice import ModelChoice


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
        scenario = day_scenario(13.2, 1)
        row = simulate_day(scenario, ModelChoice, 1)
        self.assertGreaterEqual(row.never_served, row.bound)
        self.assertGreater(row.bound, 0)
        self.assertEqual(row, simulate_day(scenario, ModelChoice, 1))


if __name__ == "__main__":
    unittest.main()
