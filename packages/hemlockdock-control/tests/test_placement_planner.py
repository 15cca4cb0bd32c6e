"""Test single decisions of the planner."""

import unittest

from support_policy import (
    NOW_MS,
    SETTINGS,
    endpoint_view,
    model_view,
    ready_replica,
    small_view,
    wish,
)

from hemlockdock_control.placement import AdapterView, Planner
from hemlockdock_core.commands import DecideAdapter, DecideLoad, DecideUnload


class WakeTest(unittest.TestCase):
    def test_many_entries_wake_one_replica(self):
        view = small_view([model_view("m")], [endpoint_view("a")], wishes=[wish("m")] * 50)
        commands = Planner(SETTINGS).decide(view, NOW_MS)
        self.assertEqual([type(command) for command in commands], [DecideLoad])
        self.assertEqual((commands[0].model, commands[0].node_id), ("m", "a"))

    def test_cached_checkpoint_is_preferred(self):
        endpoints = [endpoint_view("a"), endpoint_view("b", cached_on_disk=frozenset({"m/v1"}))]
        view = small_view([model_view("m")], endpoints, wishes=[wish("m")])
        self.assertEqual(Planner(SETTINGS).decide(view, NOW_MS)[0].node_id, "b")

    def test_idle_replica_makes_room_before_the_load(self):
        models = [model_view("m", memory_mb=60_000), model_view("old", memory_mb=60_000)]
        endpoints = [endpoint_view("a", reserved_mb=60_000)]
        replicas = [ready_replica("r1", "old", "a")]
        planner = Planner(SETTINGS)
        planner.decide(small_view(models, endpoints, replicas), NOW_MS - 2_000)
        view = small_view(models, endpoints, replicas, [wish("m")])
        commands = planner.decide(view, NOW_MS)
        self.assertEqual([type(command) for command in commands], [DecideUnload])

    def test_adapter_rides_on_a_ready_replica(self):
        view = small_view(
            [model_view("m")],
            [endpoint_view("a", reserved_mb=20_000)],
            [ready_replica("r1", "m", "a")],
            [wish("m", adapter="x")],
            [AdapterView("x", "m", 200)],
        )
        commands = Planner(SETTINGS).decide(view, NOW_MS)
        self.assertEqual(commands, [DecideAdapter("r1", "x", NOW_MS)])


if __name__ == "__main__":
    unittest.main()
