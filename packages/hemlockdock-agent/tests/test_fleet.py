"""Test the decisions of an agent that holds one engine of a fleet."""

import unittest

from hemlockdock_agent.fleet.adapters import (
    ARRIVAL_TIMEOUT_S,
    HOLD_S,
    IN_USE_BACKOFF_S,
    AdapterScheduler,
)
from hemlockdock_agent.fleet.memory import EngineMemory
from hemlockdock_agent.fleet.model_change import ChangeStep, ModelChange
from hemlockdock_core.messages import ChangeModels
from hemlockdock_core.rows import EngineSpec, ModelSpec
from hemlockdock_core.wire import AdapterName, EngineReport, LoadedModel, OrderAction


def report(models=(), sequence=0, busy=False, leaving=False, started_ms=1, arriving=()):
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
        frozenset(),
        0,
        0,
        0,
        0,
    )


def memory(room_mb=80.0, slots=2):
    models = tuple(ModelSpec(name, 34.0, 9, 1.0, 1, 1, 1) for name in "abc")
    return EngineMemory(EngineSpec(32, 1, 1, room_mb, slots, 0.0, 0.0, 1.0, models))


class ModelChangeTest(unittest.TestCase):
    def step(self, found, unload=("a",), load="c", room_mb=80.0, fence=7):
        change = ModelChange(ChangeModels(7, 1, "e", unload, load), "me", 1)
        return change.next_step(found, memory(room_mb), fence)

    def test_room_is_made_first(self):
        order = self.step(report(("a", "b"), sequence=4)).order
        self.assertEqual((order.action, order.model), (OrderAction.UNLOAD, "a"))
        self.assertEqual((order.expected_sequence, order.fence, order.holder), (4, 7, "me"))

    def test_a_change_of_an_older_leader_goes_on_under_the_newest_fence(self):
        order = self.step(report(("a", "b")), fence=9).order
        self.assertEqual(order.fence, 9)

    def test_then_the_model_is_loaded(self):
        order = self.step(report(("b",), sequence=5)).order
        self.assertEqual((order.action, order.model), (OrderAction.LOAD, "c"))
        self.assertEqual(order.expected_sequence, 5)

    def test_nothing_is_ordered_while_an_order_is_carried_out(self):
        self.assertIs(self.step(report(("a",), busy=True)).step, ChangeStep.WAIT)

    def test_an_order_that_brought_no_answer_is_given_again_with_the_same_number(self):
        first = self.step(report(("b",), sequence=5)).order
        self.assertEqual(self.step(report(("b",), sequence=5)).order, first)

    def test_it_is_done_once_the_model_is_there(self):
        self.assertIs(self.step(report(("b", "c"))).step, ChangeStep.DONE)

    def test_memory_is_never_over_committed(self):
        found = self.step(report(("b",)), unload=(), room_mb=60.0)
        self.assertIs(found.step, ChangeStep.DONE)
        self.assertEqual(found.reason, "no room")

    def test_a_model_that_nobody_knows_may_take_everything(self):
        self.assertEqual(self.step(report(("unknown",)), unload=()).reason, "no room")

    def test_adapters_count(self):
        found = self.step(report(("a/x+y", "b")), unload=("b",), room_mb=71.0)
        self.assertIs(found.order.action, OrderAction.UNLOAD)
        self.assertEqual(self.step(report(("a/x+y+z+w",)), (), room_mb=71.0).reason, "no room")

    def test_an_engine_that_started_anew_or_leaves_ends_it(self):
        self.assertIs(self.step(report(("a",), started_ms=2)).step, ChangeStep.DONE)
        self.assertIs(self.step(report(("a",), leaving=True)).step, ChangeStep.DONE)


class AdapterDeskTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = AdapterScheduler()

    def next(self, found, now_s=10.0, slots=2, room_mb=80.0):
        requested, victim = self.scheduler.next_load(found, memory(room_mb, slots), now_s)
        return None if requested is None else (requested.model, requested.adapter), victim

    def test_a_wanted_adapter_is_loaded_into_a_free_slot(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.next(report(("a/y",))), (("a", "x"), None))

    def test_one_that_is_on_its_way_is_not_ordered_again(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        arriving = [AdapterName("a", "x")]
        self.assertEqual(self.next(report(("a",), arriving=arriving)), (None, None))

    def test_one_that_was_just_ordered_gets_time_to_show(self):
        requested = self.scheduler.request("a", "x", "tcp://e", 10.0)
        requested.load_ordered_s = 10.0
        self.assertEqual(self.next(report(("a",)), 10.1), (None, None))
        self.assertEqual(self.next(report(("a",)), 10.01 + ARRIVAL_TIMEOUT_S)[0], ("a", "x"))

    def test_the_one_asked_for_longest_ago_makes_room(self):
        for second, name in enumerate(("y", "z")):
            self.scheduler.request("a", name, "tcp://e", float(second))
        self.scheduler.pop_answers(report(("a/y+z",)), 2.0)
        self.scheduler.request("a", "x", "tcp://e", 20.0)
        self.assertEqual(self.next(report(("a/y+z",)), 20.0), (("a", "x"), ("a", "y")))

    def test_one_that_entries_rely_on_stays(self):
        for name in ("y", "z"):
            self.scheduler.request("a", name, "tcp://e", 9.0)
        self.scheduler.pop_answers(report(("a/y+z",)), 9.0)
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.next(report(("a/y+z",)), 9.0 + HOLD_S), (None, None))

    def test_many_adapters_take_turns_in_few_slots(self):
        """Play a load in which twice as many are asked for as there are slots."""
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

    def test_none_gives_way_while_the_engine_exchanges_models(self):
        """No adapter can be loaded meanwhile, so that a slot would change hands for nobody."""
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.scheduler.pop_answers(report(("a/x",)), 10.0)
        self.scheduler.request("a", "y", "tcp://e", 10.0)
        self.scheduler.request("a", "x", "tcp://e", 11.0)
        self.assertEqual(self.scheduler.pop_answers(report(("a/x",)), 11.0), [])
        told = self.scheduler.pop_answers(report(("a/x",), busy=True), 11.1)
        self.assertEqual([requested.adapter for requested, _, _ in told], ["x"])

    def test_one_that_is_in_use_is_left_alone_for_a_while(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        first = self.next(report(("a/y+z",)))[1]
        self.scheduler.unload_refused(first, 10.0)
        second = self.next(report(("a/y+z",)))[1]
        self.assertNotEqual(first, second)
        self.scheduler.unload_refused(second, 10.0)
        self.assertEqual(self.next(report(("a/y+z",))), (None, None))
        self.assertIsNotNone(self.next(report(("a/y+z",)), 10.0 + IN_USE_BACKOFF_S)[1])

    def test_adapters_take_no_memory_that_is_not_there(self):
        self.scheduler.request("a", "x", "tcp://e", 10.0)
        self.assertEqual(self.next(report(("a", "b")), room_mb=68.5), (None, None))

    def test_entries_are_told_once_it_is_loaded_or_its_model_is_gone(self):
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
