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
from hemlockdock_core.commands import DecideAdapter, DecideAdapterUnload, DecideLoad, DecideUnload
from hemlockdock_core.rows import ReplicaState


def decide(view, now_ms=NOW_MS):
    """Return the decisions of a planner whose first round was two seconds ago."""
    planner = Planner(SETTINGS)
    planner.decide(small_view([], view.endpoint_by_id.values()), now_ms - 2_000)
    return planner.decide(view, now_ms)


def loading(replica_id, model, node_id, age_ms):
    """Return a replica that has been loading for ``age_ms``."""
    return ready_replica(
        replica_id,
        model,
        node_id,
        state=ReplicaState.LOADING,
        decided_at_ms=NOW_MS - age_ms,
        ready_at_ms=0,
    )


def loaded_models(commands):
    """Return the models of the loads among commands, in order."""
    return [command.model for command in commands if isinstance(command, DecideLoad)]


class ScaleUpTest(unittest.TestCase):
    def test_requests_of_many_entries_load_one_replica(self):
        view = small_view(
            [model_view("m", 4)],
            [endpoint_view("a"), endpoint_view("b")],
            waiting_requests=[wish("m")] * 50,
        )
        commands = decide(view)
        self.assertEqual([type(command) for command in commands], [DecideLoad])
        self.assertEqual((commands[0].model, commands[0].node_id), ("m", "a"))

    def test_new_leader_starts_no_second_load(self):
        replicas = [loading("r1", "m", "a", 1_000)]
        endpoints = [endpoint_view("a"), endpoint_view("b")]
        view = small_view([model_view("m", 4)], endpoints, replicas, [wish("m")] * 50)
        self.assertEqual(Planner(SETTINGS).decide(view, NOW_MS), [])

    def test_cached_checkpoint_is_preferred(self):
        endpoints = [endpoint_view("a", cached_on_disk=frozenset({"m/v1"})), endpoint_view("b")]
        view = small_view([model_view("m")], endpoints, waiting_requests=[wish("m")])
        self.assertEqual(decide(view)[0].node_id, "a")

    def test_second_replica_goes_to_another_failure_domain(self):
        endpoints = [
            endpoint_view("a", reserved_mb=20_000),
            endpoint_view("b", cached_on_disk=frozenset({"m/v1"})),
            endpoint_view("c", "domain-c", memory_mb=30_000),
        ]
        replicas = [ready_replica("r1", "m", "a", in_flight=4)]
        waiting = [wish("m", 9, left_ms=60_000, since_ms=NOW_MS - 5_000)]
        view = small_view([model_view("m", 2)], endpoints, replicas, waiting)
        self.assertEqual(decide(view)[0].node_id, "c")

    def test_loads_are_ordered_by_deadline(self):
        models = [model_view(name) for name in "abcdef"]
        waiting_requests = [
            wish(name, left_ms=60_000 - 4_000 * i) for i, name in enumerate("abcdef")
        ]
        view = small_view(
            models, [endpoint_view("n", memory_mb=400_000)], waiting_requests=waiting_requests
        )
        self.assertEqual(loaded_models(decide(view)), ["f", "e", "d", "c"])

    def test_load_on_lost_host_frees_its_slot(self):
        models = [model_view(name) for name in "abcde"]
        endpoints = [endpoint_view("n", lost=True), endpoint_view("o")]
        replicas = [loading(f"r{name}", name, "n", 5_000) for name in "abcd"]
        view = small_view(models, endpoints, replicas, [wish("e")])
        self.assertEqual(loaded_models(decide(view)), ["e"])

    def test_load_starts_per_second_are_limited(self):
        models = [model_view(name) for name in "abcdef"]
        endpoints = [endpoint_view("n", memory_mb=400_000, reserved_mb=100_000)]
        replicas = [
            ready_replica(f"r{name}", name, "n", decided_at_ms=NOW_MS - 500, last_used_ms=NOW_MS)
            for name in "abcde"
        ]
        view = small_view(models, endpoints, replicas, [wish("f", since_ms=NOW_MS - 100)])
        self.assertEqual(loaded_models(decide(view)), [])
        self.assertEqual(loaded_models(decide(view, NOW_MS + 600)), ["f"])

    def test_failed_loads_count_as_starts(self):
        models = [model_view(name) for name in "abcdef"]
        endpoints = [endpoint_view("n", memory_mb=400_000)]
        view = small_view(models, endpoints, waiting_requests=[wish(name) for name in "abcdef"])
        planner = Planner(SETTINGS)
        self.assertEqual(len(planner.decide(view, NOW_MS)), 4)
        self.assertEqual(len(planner.decide(view, NOW_MS + 100)), 1)
        self.assertEqual(len(planner.decide(view, NOW_MS + 200)), 0)

    def test_hung_load_is_unloaded_and_retried_elsewhere(self):
        view = small_view(
            [model_view("m")],
            [endpoint_view("a", reserved_mb=20_000), endpoint_view("b", memory_mb=30_000)],
            [loading("r1", "m", "a", 400_000)],
            [wish("m")],
        )
        planner = Planner(SETTINGS)
        commands = planner.decide(view, NOW_MS)
        self.assertEqual([type(command) for command in commands], [DecideUnload])
        gone = small_view(
            [model_view("m")],
            [endpoint_view("a"), endpoint_view("b", memory_mb=30_000)],
            waiting_requests=[wish("m")],
        )
        self.assertEqual(planner.decide(gone, NOW_MS + 100)[0].node_id, "b")

    def test_slow_store_does_not_count_as_hang(self):
        endpoints = [endpoint_view("a", reserved_mb=20_000)]
        replicas = [loading("r1", "m", "a", 60_000)]
        view = small_view([model_view("m")], endpoints, replicas, [wish("m")])
        self.assertEqual(decide(view), [])

    def test_idle_replica_is_evicted_before_the_load(self):
        models = [model_view("m", memory_mb=60_000), model_view("old", memory_mb=60_000)]
        endpoints = [endpoint_view("a", reserved_mb=60_000)]
        view = small_view(models, endpoints, [ready_replica("r1", "old", "a")], [wish("m")])
        self.assertEqual([type(command) for command in decide(view)], [DecideUnload])

    def test_adapter_is_loaded_on_ready_replica(self):
        view = small_view(
            [model_view("m")],
            [endpoint_view("a", reserved_mb=20_000)],
            [ready_replica("r1", "m", "a")],
            [wish("m", adapter="x")],
            [AdapterView("x", "m", 200)],
        )
        self.assertEqual(decide(view), [DecideAdapter("r1", "x", NOW_MS)])

    def test_adapters_without_memory_evict_only_one_other(self):
        view = small_view(
            [model_view("m")],
            [endpoint_view("a", memory_mb=20_500, reserved_mb=20_400)],
            [ready_replica("r1", "m", "a", adapters=frozenset({"u"}))],
            [wish("m", adapter="x"), wish("m", adapter="y")],
            [AdapterView(name, "m", 200) for name in "uxy"],
        )
        self.assertEqual(decide(view), [DecideAdapterUnload("r1", "u", NOW_MS)])


class VersionTest(unittest.TestCase):
    def setUp(self):
        self.model = model_view("m", 2, ("v1", "v2"))
        self.endpoints = [endpoint_view("a", reserved_mb=20_000), endpoint_view("b")]
        self.old = ready_replica("r1", "m", "a", in_flight=2, last_used_ms=NOW_MS)

    def test_new_version_is_loaded_beside_the_old(self):
        commands = decide(small_view([self.model], self.endpoints, [self.old]))
        self.assertEqual([(type(c), c.version) for c in commands], [(DecideLoad, "v2")])

    def test_old_version_stays_until_the_new_is_ready(self):
        fresh = ready_replica("r2", "m", "b", version="v2", state=ReplicaState.LOADING)
        view = small_view([self.model], self.endpoints, [self.old, fresh])
        self.assertEqual(decide(view), [])
        fresh = ready_replica("r2", "m", "b", version="v2", last_used_ms=NOW_MS)
        view = small_view([self.model], self.endpoints, [self.old, fresh])
        self.assertEqual([command.replica_id for command in decide(view)], ["r1"])

    def test_new_manifest_replaces_one_version_at_a_time(self):
        models = [model_view(name, 2, ("v1", "v2")) for name in "abcde"]
        endpoints = [endpoint_view("n", memory_mb=400_000), endpoint_view("o", memory_mb=400_000)]
        replicas = [
            ready_replica(f"r{n}", n, "n", in_flight=1, last_used_ms=NOW_MS) for n in "abcde"
        ]
        self.assertEqual(len(loaded_models(decide(small_view(models, endpoints, replicas)))), 1)


if __name__ == "__main__":
    unittest.main()
