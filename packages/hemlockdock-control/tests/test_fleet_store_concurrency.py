"""Test the estimate of how many concurrent loads the weight store supports at full speed."""

import unittest

from hemlockdock_control.fleet.store_concurrency import (
    INITIAL_CONCURRENCY,
    MAX_CONCURRENCY,
    StoreConcurrencyEstimator,
)

NOMINAL_S = 6.0
STEP_S = 0.05


class SimulatedStore:
    """Simulate a store whose loads take proportionally longer above a number of concurrent loads.

    Either all loads share its bandwidth, or loads that started earlier are not slowed down.
    """

    def __init__(self, at_once, speed, shares=True):
        self._at_once = at_once
        self._shares = shares
        self._speed = speed
        self._left_s = {}
        self._now_s = 0.0
        self._next_number = 0
        self.ended_s = []

    def run(self, length_s, fill=True):
        """Advance the time; with ``fill``, keep as many loads running as the estimate allows."""
        until_s = self._now_s + length_s
        while self._now_s < until_s:
            while fill and len(self._left_s) < self._speed.concurrency_limit:
                self.start_load()
            self._step()

    def start_load(self):
        crowding = max(1.0, (len(self._left_s) + 1) / self._at_once)
        self._left_s[self._next_number] = NOMINAL_S * (1.0 if self._shares else crowding)
        self._speed.record_start(self._next_number, NOMINAL_S, self._now_s)
        self._next_number += 1

    def _step(self):
        rate = 1.0
        if self._shares:
            rate = min(1.0, self._at_once / max(1, len(self._left_s)))
        self._now_s += STEP_S
        self._speed.check_overdue(self._now_s)
        for load, left_s in list(self._left_s.items()):
            self._left_s[load] = left_s - STEP_S * rate
            if self._left_s[load] <= 0.0:
                del self._left_s[load]
                self._speed.record_end(load, True, self._now_s)
                self.ended_s.append(self._now_s)


class StoreSpeedTest(unittest.TestCase):
    def estimates(self, at_once, length_s):
        """Return the estimates for both kinds of store."""
        estimates = []
        for shares in (True, False):
            speed = StoreConcurrencyEstimator()
            SimulatedStore(at_once, speed, shares).run(length_s)
            estimates.append(speed.concurrency_limit)
        return estimates

    def test_a_store_that_supports_one_load_is_detected_quickly(self):
        self.assertEqual(self.estimates(1, 1.5 * NOMINAL_S), [1, 1])
        # A second load is tried from time to time.
        for estimate in self.estimates(1, 30 * NOMINAL_S):
            self.assertIn(estimate, (1, 2))

    def test_a_store_that_supports_four_loads_gets_four(self):
        for estimate in self.estimates(4, 1.5 * NOMINAL_S):
            self.assertGreaterEqual(estimate, 4)
        for estimate in self.estimates(4, 30 * NOMINAL_S):
            self.assertIn(estimate, (4, 5))

    def test_the_estimate_has_a_maximum(self):
        self.assertEqual(self.estimates(99, 30 * NOMINAL_S), [MAX_CONCURRENCY, MAX_CONCURRENCY])

    def test_a_single_load_in_time_is_not_a_measurement(self):
        speed = StoreConcurrencyEstimator()
        speed.record_start(1, NOMINAL_S, 0.0)
        speed.record_end(1, True, NOMINAL_S)
        self.assertFalse(speed.is_measured)

    def test_the_store_is_measured_only_once_a_load_has_ended_or_is_late(self):
        speed = StoreConcurrencyEstimator()
        store = SimulatedStore(4, speed)
        store.run(0.9 * NOMINAL_S)
        self.assertFalse(speed.is_measured)
        store.run(0.2 * NOMINAL_S)
        self.assertTrue(speed.is_measured)

    def test_fewer_loads_than_the_estimate_do_not_raise_it(self):
        speed = StoreConcurrencyEstimator()
        store = SimulatedStore(4, speed)
        for _ in range(5):
            store.start_load()
            store.run(NOMINAL_S + STEP_S, fill=False)
        self.assertEqual(speed.concurrency_limit, INITIAL_CONCURRENCY)

    def test_a_failed_load_does_not_change_the_estimate(self):
        speed = StoreConcurrencyEstimator()
        speed.record_start(1, NOMINAL_S, 0.0)
        speed.record_end(1, False, 0.1)
        self.assertEqual(speed.concurrency_limit, INITIAL_CONCURRENCY)

    def test_the_estimate_recovers_after_a_slow_period(self):
        speed = StoreConcurrencyEstimator()
        slow = SimulatedStore(1, speed)
        slow.run(3 * NOMINAL_S)
        self.assertEqual(speed.concurrency_limit, 1)
        quick = SimulatedStore(4, speed)
        quick._now_s, quick._next_number = 1_000.0, 1_000
        for load in list(slow._left_s):
            speed.record_end(load, False, 1_000.0)
        quick.run(25 * NOMINAL_S)
        self.assertGreaterEqual(speed.concurrency_limit, 4)

    def test_a_load_in_time_is_no_measurement_while_one_started_with_it_goes_on(self):
        """The store may have begun them in the other order."""
        speed = StoreConcurrencyEstimator()
        speed.record_start(1, NOMINAL_S, 0.0)
        speed.record_start(2, NOMINAL_S, 0.1)
        speed.record_end(2, True, NOMINAL_S)
        self.assertFalse(speed.is_measured)
        self.assertEqual(speed.concurrency_limit, INITIAL_CONCURRENCY)
        speed.check_overdue(1.5 * NOMINAL_S)
        self.assertEqual((speed.is_measured, speed.concurrency_limit), (True, 1))

    def test_the_last_of_loads_that_started_together_measures_the_store(self):
        speed = StoreConcurrencyEstimator()
        speed.record_start(1, NOMINAL_S, 0.0)
        speed.record_start(2, NOMINAL_S, 0.1)
        speed.record_end(2, True, NOMINAL_S)
        speed.record_end(1, True, NOMINAL_S + 0.1)
        self.assertTrue(speed.is_measured)
        self.assertGreater(speed.concurrency_limit, INITIAL_CONCURRENCY)

    def test_a_load_that_ran_alone_does_not_count_as_measurement_of_two(self):
        speed = StoreConcurrencyEstimator()
        speed.record_start(1, NOMINAL_S, 0.0)
        speed.record_start(2, NOMINAL_S, 0.0)
        speed.check_overdue(2 * NOMINAL_S)
        speed.forget_active_loads()
        speed.record_start(3, NOMINAL_S, 100.0)
        speed.record_end(3, True, 100.0 + NOMINAL_S)
        self.assertFalse(speed.is_measured)
        self.assertEqual(speed.concurrency_limit, INITIAL_CONCURRENCY)


if __name__ == "__main__":
    unittest.main()
