"""Test the load time estimates and the expected cold start times."""

import unittest

from support_policy import NOW_MS, SETTINGS, endpoint_view, model_view, small_view, wish

from hemlockdock_control.loading import LoadTimeEstimator, Tier
from hemlockdock_control.placement import Planner


class LoadTimesTest(unittest.TestCase):
    def test_tenfold_slower_store_raises_the_estimate(self):
        times = LoadTimeEstimator()
        nominal_ms = times.expected_ms(Tier.REMOTE, 10_000)
        for _ in range(10):
            times.observe(Tier.REMOTE, 10_000, 10 * nominal_ms)
        self.assertGreater(times.expected_ms(Tier.REMOTE, 10_000), 9 * nominal_ms)
        self.assertEqual(
            times.expected_ms(Tier.DISK, 10_000), LoadTimeEstimator().expected_ms(Tier.DISK, 10_000)
        )


class ExpectedLoadTest(unittest.TestCase):
    def _planner_after_loads(self, took_ms):
        planner = Planner(SETTINGS)
        models = [model_view(name) for name in "abcdefgh"]
        endpoints = [endpoint_view("n", memory_mb=400_000)]
        view = small_view(models, endpoints, waiting_requests=[wish(name) for name in "abcdefgh"])
        for command in planner.decide(view, NOW_MS):
            planner.statistics.load_times.observe(Tier.REMOTE, 10_000, took_ms)
            self.assertEqual(command.node_id, "n")
        planner.decide(view, NOW_MS + 100)
        return planner, view

    def test_expected_load_includes_store_speed_and_queue(self):
        planner, view = self._planner_after_loads(10_500)
        alone_ms = Planner(SETTINGS).expected_load_ms(view, "h")
        self.assertGreaterEqual(planner.expected_load_ms(view, "h"), alone_ms)
        slow, view = self._planner_after_loads(105_000)
        self.assertGreater(slow.expected_load_ms(view, "h"), 5 * alone_ms)

    def test_expected_load_uses_the_fastest_usable_host(self):
        cached = frozenset({"m/v1"})
        near = small_view([model_view("m")], [endpoint_view("a", cached_in_memory=cached)])
        lost = small_view(
            [model_view("m")], [endpoint_view("a", lost=True, cached_in_memory=cached)]
        )
        near_ms = Planner(SETTINGS).expected_load_ms(near, "m")
        self.assertLess(near_ms, Planner(SETTINGS).expected_load_ms(lost, "m"))


if __name__ == "__main__":
    unittest.main()
