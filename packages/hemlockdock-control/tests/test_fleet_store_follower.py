"""Test what a member that does not lead learns of the weight store."""

import unittest

from hemlockdock_control.fleet.recorded_loads import RecordedLoads
from hemlockdock_control.fleet.store_concurrency import StoreConcurrencyEstimator
from hemlockdock_control.fleet.store_follower import StoreFollower
from hemlockdock_control.state.context import StateContext
from hemlockdock_control.state.routes import Endpoints
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.rows import (
    ArrivingModel,
    EndpointRow,
    EngineSpec,
    ModelSpec,
    PoolRow,
    ResidentModel,
)

NOMINAL_S = 6.0
TICK_S = 0.1
WALL_S = 1_000
MODELS = tuple(ModelSpec(name, 34.0, 0, 0.0, 6_000, 390, 510) for name in ("a", "b"))
POOL = PoolRow("p", "/", 100, EngineSpec(32, 1_000, 1, 83.0, 8, 56.0, 320.0, 5.0, MODELS))


def row(endpoint_id, loading="", takes_ms=6_000, models=()):
    arriving = (ArrivingModel(loading, takes_ms),) if loading else ()
    resident = tuple(ResidentModel(name, 1) for name in models)
    return EndpointRow(endpoint_id, "p", "1:1", "d", 8, False, resident, arriving=arriving)


class StoreFollowerTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.term = 1
        self.context = StateContext(0)
        self.endpoints = Endpoints(self.context)
        self.recorded = RecordedLoads()
        self.estimator = StoreConcurrencyEstimator()
        self.follower = StoreFollower(self.estimator)
        self.record(row("x"), row("y"))
        self.follow(TICK_S)

    def record(self, *rows):
        at_ms = round((WALL_S + self.now_s) * 1_000)
        self.context.advance(self.context.index + 1, at_ms)
        self.endpoints.record(RecordEndpoints(rows, (), at_ms))

    def follow(self, seconds):
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += TICK_S
            wall_ms = round((WALL_S + self.now_s) * 1_000)
            self.recorded.update(self.endpoints.loads, self.now_s, wall_ms)
            rows = self.endpoints.row_by_id
            self.follower.follow((POOL,), rows, self.recorded, self.now_s, self.term)

    def begin_two_loads(self):
        self.record(row("x", "a"), row("y", "b", takes_ms=12_000))
        self.follow(1.0)

    def test_two_loads_in_time_measure_the_store(self):
        self.begin_two_loads()
        self.follow(NOMINAL_S - 1.0)
        self.record(row("x", models=("a",)), row("y", models=("b",)))
        self.follow(1.0)
        self.assertTrue(self.estimator.is_measured)
        self.assertGreaterEqual(self.estimator.concurrency_limit, 2)

    def test_a_late_load_measures_the_store(self):
        self.begin_two_loads()
        self.follow(NOMINAL_S - 1.0)
        self.record(row("x", models=("a",)))
        self.follow(0.5 * NOMINAL_S)
        self.assertEqual((self.estimator.is_measured, self.estimator.concurrency_limit), (True, 1))

    def test_loads_from_disk_measure_nothing(self):
        self.record(row("x", "a", takes_ms=510), row("y", "b", takes_ms=510))
        self.follow(2 * NOMINAL_S)
        self.assertFalse(self.estimator.is_measured)

    def test_a_lost_load_measures_nothing(self):
        self.begin_two_loads()
        self.record(row("x"), row("y"))
        self.follow(0.9 * NOMINAL_S - 1.0)
        self.assertFalse(self.estimator.is_measured)

    def test_ends_that_may_have_been_seen_late_measure_nothing(self):
        self.begin_two_loads()
        self.now_s += 2 * NOMINAL_S
        self.follow(1.0)
        self.assertFalse(self.estimator.is_measured)

    def hold_election(self, seconds=1.0):
        """Let the member be without a leader for a while."""
        self.now_s += seconds
        self.term += 1

    def test_a_measurement_is_not_lost_with_the_leader_that_began_it(self):
        self.begin_two_loads()
        self.hold_election()
        self.follow(2 * NOMINAL_S)
        self.assertEqual((self.estimator.is_measured, self.estimator.concurrency_limit), (True, 1))

    def test_two_loads_in_time_measure_the_store_over_an_election(self):
        self.begin_two_loads()
        self.hold_election()
        self.follow(NOMINAL_S - 2.0)
        self.record(row("x", models=("a",)), row("y", models=("b",)))
        self.follow(1.0)
        self.assertTrue(self.estimator.is_measured)
        self.assertGreaterEqual(self.estimator.concurrency_limit, 2)

    def test_an_end_that_the_next_leader_records_late_is_not_taken_for_a_late_load(self):
        self.begin_two_loads()
        self.follow(NOMINAL_S - 1.5)
        self.hold_election(1.5)
        self.follow(1.0)
        self.record(row("x", models=("a",)), row("y", models=("b",)))
        self.follow(1.0)
        self.assertFalse(self.estimator.is_measured)

    def test_a_load_that_began_in_an_interruption_makes_the_others_unknown(self):
        self.begin_two_loads()
        self.record(row("z", "a"))
        self.hold_election()
        self.follow(2 * NOMINAL_S)
        self.assertFalse(self.estimator.is_measured)


if __name__ == "__main__":
    unittest.main()
