"""Test which idle replicas the planner keeps and which models it loads ahead of requests."""

import unittest

from support_policy import (
    NOW_MS,
    SETTINGS,
    endpoint_view,
    model_view,
    ready_replica,
    small_view,
)

from hemlockdock_control.placement import Planner
from hemlockdock_core.commands import DecideLoad, DecideUnload

MINUTE_MS = 60_000
DAY_MS = 1_440 * MINUTE_MS
MAX_IDLE_S = 36_000


def retention_s(planner, weight, expire_ms=0):
    """Return the idle time after which the planner unloads a replica, in seconds."""
    model = model_view("m")
    endpoints = [endpoint_view("a", reserved_mb=20_000)]
    fields = {"tail_cold_start": weight, "credits_expire_ms": expire_ms}
    replica = ready_replica("r1", "m", "a", ready_at_ms=NOW_MS - DAY_MS, last_used_ms=NOW_MS)
    view = small_view([model], endpoints, [replica], **fields)
    planner.decide(view, NOW_MS)
    for seconds in range(10, MAX_IDLE_S, 10):
        commands = planner.decide(view, NOW_MS + seconds * 1_000)
        if any(isinstance(command, DecideUnload) for command in commands):
            return seconds
    return MAX_IDLE_S


def planner_with_gaps(gap_ms, count=40):
    """Return a planner that observed requests for a model at equal intervals until now."""
    planner = Planner(SETTINGS)
    for index in range(count, -1, -1):
        planner.observe_arrivals("m", 1, NOW_MS - index * gap_ms)
    return planner


class RetentionTest(unittest.TestCase):
    def test_higher_tail_weight_keeps_replica_longer(self):
        durations_s = [retention_s(Planner(SETTINGS), weight) for weight in (0.0, 0.5, 1.0)]
        self.assertLess(durations_s[0], durations_s[1])
        self.assertLess(durations_s[1], durations_s[2])
        self.assertLess(durations_s[2], MAX_IDLE_S)

    def test_model_with_short_gaps_is_kept(self):
        self.assertGreaterEqual(retention_s(planner_with_gaps(4 * MINUTE_MS), 0.5), 240)

    def test_model_with_long_gaps_is_unloaded(self):
        self.assertLessEqual(retention_s(planner_with_gaps(300 * MINUTE_MS), 0.5), 60)

    def test_expiring_credits_shorten_retention(self):
        unlimited_s = retention_s(Planner(SETTINGS), 0.7)
        self.assertLess(retention_s(Planner(SETTINGS), 0.7, NOW_MS + 3_600_000), unlimited_s)

    def test_busy_replica_is_not_unloaded(self):
        endpoints = [endpoint_view("a", reserved_mb=20_000)]
        long_ago_ms = NOW_MS - DAY_MS
        replica = ready_replica(
            "r1", "m", "a", ready_at_ms=long_ago_ms, last_used_ms=long_ago_ms, in_flight=1
        )
        view = small_view([model_view("m")], endpoints, [replica], tail_cold_start=0.0)
        planner = Planner(SETTINGS)
        planner.decide(view, NOW_MS - 60_000)
        self.assertEqual(planner.decide(view, NOW_MS), [])

    def test_new_leader_unloads_nothing_at_once(self):
        replica = ready_replica("r1", "m", "a", ready_at_ms=NOW_MS - DAY_MS)
        endpoints = [endpoint_view("a", reserved_mb=20_000)]
        view = small_view([model_view("m")], endpoints, [replica])
        self.assertEqual(Planner(SETTINGS).decide(view, NOW_MS), [])


class AheadTest(unittest.TestCase):
    def _planner(self):
        planner = Planner(SETTINGS)
        for day in range(5, 0, -1):
            planner.observe_arrivals("m", 1, NOW_MS - day * DAY_MS + 20 * MINUTE_MS)
        return planner

    def _loads(self, planner, at_ms, weight):
        view = small_view([model_view("m")], [endpoint_view("a")], tail_cold_start=weight)
        planner.decide(view, at_ms - 5_000)
        commands = planner.decide(view, at_ms)
        loads = [command for command in commands if isinstance(command, DecideLoad)]
        return [command.model for command in loads if "time of day" in command.reason]

    def test_daily_session_is_loaded_ahead(self):
        at_ms = NOW_MS + 16 * MINUTE_MS
        self.assertEqual(self._loads(self._planner(), at_ms, 1.0), ["m"])

    def test_nothing_is_loaded_too_early_or_without_weight(self):
        at_ms = NOW_MS + 16 * MINUTE_MS
        self.assertEqual(self._loads(self._planner(), NOW_MS - 60 * MINUTE_MS, 1.0), [])
        self.assertEqual(self._loads(self._planner(), at_ms, 0.0), [])


if __name__ == "__main__":
    unittest.main()
