"""Test the decisions of the agent of one fleet engine."""

import unittest

from hemlockdock_agent.fleet.adapters import (
    ARRIVAL_TIMEOUT_S,
    HOLD_S,
    IN_USE_BACKOFF_S,
    AdapterScheduler,
)
from hemlockdock_agent.fleet.memory import EngineMemory
from hemlockdock_agent.fleet.model_change import ChangeStep, ModelChange
from hemlockdock_agent.fleet.reachability import EngineReachability
from hemlockdock_core.messages import ChangeModels
from hemlockdock_core.rows import EngineSpec, ModelSpec
from hemlockdock_core.wire import AdapterName, EngineReport, LoadedModel, OrderAction


def report(
    models=(),
    sequence=0,
    busy=False,
    leaving=False,
    started_ms=1,
    arriving=(),
    disk=(),
    runs=(),
):
    loaded = []
    for text in models:
        name, _, adapters = text.partition("/")
        loaded.append(LoadedModel(name, 1, frozenset(filter(None, adapters.split("+")))))
    return EngineReport(
        started_ms,
        sequence,
        busy,
        leaving,
        None,
        tuple(loaded),
        frozenset(arriving),
        frozenset(),
        frozenset(disk),
        0,
        0,
        0,
        0,
        runs,
    )


def memory(room_mb=80.0, slots=2):
    models = tuple(ModelSpec(name, 34.0, 9, 1.0, 1, 1, 1) for name in "abc")
    return EngineMemory(EngineSpec(32, 1, 1, room_mb, slots, 0.0, 0.0, 1.0, models))


class ModelChangeTest(unittest.TestCase):
    def step(self, found, unload=("a",), load="c", room_mb=80.0, fence=7):
        change = ModelChange(ChangeModels(7, 1, "e", unload, load), "me", 1)
        return change.next_step(found, memory(room_mb), fence)

    def test_models_are_unloaded_first(self):
        order = self.step(report(("a", "b"), sequence=4)).order
        self.assertEqual((order.action, order.model), (OrderAction.UNLOAD, "a"))
        self.assertEqual((order.expected_sequence, order.fence, order.holder), (4, 7, "me"))

    def test_a_change_of_an_older_leader_continues_with_the_highest_fence(self):
        order = self.step(report(("a", "b")), fence=9).order
        self.assertEqual(order.fence, 9)

    def test_then_the_model_is_loaded(self):
        order = self.step(report(("b",), sequence=5)).order
        self.assertEqual((order.action, order.model), (OrderAction.LOAD, "c"))
        self.assertEqual(order.expected_sequence, 5)

    def test_nothing_is_ordered_while_an_order_is_executed(self):
        self.assertIs(self.step(report(("a",), busy=True)).step, ChangeStep.WAIT)

    def test_an_unanswered_order_is_repeated_with_the_same_number(self):
        first = self.step(report(("b",), sequence=5)).order
        self.assertEqual(self.step(report(("b",), sequence=5)).order, first)

    def test_the_change_is_done_once_the_model_is_loaded(self):
        self.assertIs(self.step(report(("b", "c"))).step, ChangeStep.DONE)

    def test_memory_is_never_over_committed(self):
        found = self.step(report(("b",)), unload=(), room_mb=60.0)
        self.assertIs(found.step, ChangeStep.DONE)
        self.assertEqual(found.reason, "no room")

    def test_a_model_of_unknown_size_may_use_all_memory(self):
        self.assertEqual(self.step(report(("unknown",)), unload=()).reason, "no room")

    def test_adapters_use_memory(self):
        found = self.step(report(("a/x+y", "b")), unload=("b",), room_mb=71.0)
        self.assertIs(found.order.action, OrderAction.UNLOAD)
        self.assertEqual(self.step(report(("a/x+y+z+w",)), (), room_mb=71.0).reason, "no room")

    def test_a_change_goes_on_while_an_engine_that_leaves_executes_its_order(self):
        self.assertIs(self.step(report(busy=True, leaving=True)).step, ChangeStep.WAIT)

    def test_an_engine_restart_or_departure_ends_the_change(self):
        self.assertIs(self.step(report(("a",), started_ms=2)).step, ChangeStep.DONE)
        self.assertIs(self.step(report(("a",), leaving=True)).step, ChangeStep.DONE)

    def test_an_engine_that_leaves_still_loads_what_its_host_has(self):
        found = self.step(report(("b",), leaving=True, disk=("c",)))
        self.assertEqual((found.order.action, found.order.model), (OrderAction.LOAD, "c"))


class EngineReachabilityTest(unittest.TestCase):
    def test_an_engine_is_unreachable_after_three_failed_polls_in_a_row(self):
        reachability = EngineReachability()
        with self.assertLogs("hemlockdock_agent.fleet.reachability", "INFO") as logs:
            for succeeded in (False, False, True, False, False, False):
                self.assertTrue(reachability.is_reachable)
                if succeeded:
                    reachability.poll_succeeded()
                else:
                    reachability.poll_failed()
            self.assertFalse(reachability.is_reachable)
            reachability.poll_succeeded()
        self.assertTrue(reachability.is_reachable)
        messages = [record.getMessage() for record in logs.records]
        self.assertEqual(messages, ["engine unreachable", "engine reachable again"])


class AdapterSchedulerTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = AdapterScheduler()

    def next(self, found, now_s=10.0, slots=2, room_mb=80.0):
        requested, victim = self.scheduler.next_load(found, memory(room_mb, slots), now_s)
        return None if requested is None else (requested.model, requested.adapter), victim

    def test_a_requested_adapter_is_loaded_into_a_free_slot(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.next(report(("a/y",))), (("a", "x"), None))

    def test_an_arriving_adapter_is_not_ordered_again(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        arriving = [AdapterName("a", "x")]
        self.assertEqual(self.next(report(("a",), arriving=arriving)), (None, None))

    def test_an_ordered_adapter_is_not_ordered_again_before_the_timeout(self):
        requested = self.scheduler.request("a", "x", "tcp://e", 10.0)
        requested.load_ordered_s = 10.0
        self.assertEqual(self.next(report(("a",)), 10.1), (None, None))
        self.assertEqual(self.next(report(("a",)), 10.01 + ARRIVAL_TIMEOUT_S)[0], ("a", "x"))

    def test_the_least_recently_requested_adapter_is_unloaded(self):
        for second, name in enumerate(("y", "z")):
            self.scheduler.request("a", name, "tcp://e", float(second))
        self.scheduler.pop_answers(report(("a/y+z",)), 2.0)
        self.scheduler.request("a", "x", "tcp://e", 20.0)
        self.assertEqual(self.next(report(("a/y+z",)), 20.0), (("a", "x"), ("a", "y")))

    def test_an_adapter_that_entries_rely_on_is_not_unloaded(self):
        for name in ("y", "z"):
            self.scheduler.request("a", name, "tcp://e", 9.0)
        self.scheduler.pop_answers(report(("a/y+z",)), 9.0)
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.next(report(("a/y+z",)), 9.0 + HOLD_S), (None, None))

    def test_many_adapters_share_few_slots(self):
        """Request twice as many adapters as there are slots; no wait exceeds the bound."""
        names = [f"a{number}" for number in range(16)]
        held, requested_s, longest_s = set(), {}, 0.0
        for tick in range(400):
            now_s = 10.0 + 0.02 * tick
            name = names[tick * 7 % 16]
            if tick % 3 == 0:
                self.scheduler.request("a", name, "tcp://e", now_s)
                requested_s.setdefault(name, now_s)
            found = report(("a/" + "+".join(sorted(held)),) if held else ("a",))
            for requested, _, _ in self.scheduler.pop_answers(found, now_s):
                longest_s = max(longest_s, now_s - requested_s.pop(requested.adapter))
            requested, victim = self.next(found, now_s, slots=8, room_mb=200.0)
            if victim is not None:
                held.discard(victim[1])
            elif requested is not None:
                held.add(requested[1])
        waiting_s = [now_s - at_s for at_s in requested_s.values()]
        self.assertLess(max([longest_s, *waiting_s]), 1.5)

    def test_no_adapter_is_withheld_while_the_engine_is_busy(self):
        """No adapter can be loaded meanwhile, so a withheld one would free its slot for none."""
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.scheduler.pop_answers(report(("a/x",)), 10.0)
        self.scheduler.request("a", "y", "tcp://e", 10.0)
        self.scheduler.request("a", "x", "tcp://e", 11.0)
        self.assertEqual(self.scheduler.pop_answers(report(("a/x",)), 11.0), [])
        told = self.scheduler.pop_answers(report(("a/x",), busy=True), 11.1)
        self.assertEqual([requested.adapter for requested, _, _ in told], ["x"])

    def test_an_adapter_in_use_is_not_selected_again_during_the_backoff(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        first = self.next(report(("a/y+z",)))[1]
        self.scheduler.unload_refused(first, 10.0)
        second = self.next(report(("a/y+z",)))[1]
        self.assertNotEqual(first, second)
        self.scheduler.unload_refused(second, 10.0)
        self.assertEqual(self.next(report(("a/y+z",))), (None, None))
        self.assertIsNotNone(self.next(report(("a/y+z",)), 10.0 + IN_USE_BACKOFF_S)[1])

    def test_adapters_do_not_exceed_the_memory(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.next(report(("a", "b")), room_mb=68.5), (None, None))

    def test_entries_are_answered_once_it_is_loaded_or_its_model_is_unloaded(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.scheduler.pop_answers(report(("a",)), 10.0), [])
        told = self.scheduler.pop_answers(report(("a/x",)), 10.0)
        self.assertEqual([(entries, loaded) for _, entries, loaded in told], [({"tcp://e"}, True)])
        self.assertEqual(self.scheduler.pop_answers(report(("a/x",)), 10.0), [])
        self.scheduler.request("a", "x", "tcp://e", 11.0)
        self.assertEqual(
            [told[2] for told in self.scheduler.pop_answers(report(("b",)), 11.0)], [False]
        )


if __name__ == "__main__":
    unittest.main()
