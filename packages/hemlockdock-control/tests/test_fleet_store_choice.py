"""Test which models placement loads from the weight store."""

import unittest

from support_fleet import NOW_S, ChoiceCase, demand, pool, report, spec, view

from hemlockdock_control.fleet.engine_view import PendingChange
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_control.fleet.placement_history import PlacementHistory
from hemlockdock_core.messages import (
    ChangeModels,
)


class StoreChoiceTest(ChoiceCase):
    def test_a_model_that_only_the_store_has_is_not_evicted_for_one_request(self):
        self.warm_up(hot=9, warm=1)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare",)))
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_busy_host_with_the_weights_is_preferred_to_the_store(self):
        busy = report(("hot",), disk=("rare",), busy=True)
        self.views = {"x": view("x", busy), "y": view("y", report())}
        self.warm_up(hot=1)
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_model_without_a_local_copy_is_loaded_from_the_store(self):
        self.views = {"y": view("y", report())}
        self.warm_up(hot=1)
        self.add_waiting("rare", in_time=1, target_left_ms=9_000)
        self.assertEqual(self.choices()[0], ("y", "rare", (), "store"))

    def test_a_load_from_the_store_goes_where_it_drops_no_last_copy(self):
        """The disk of a host has room for 320 MB; it drops copies to cache another model."""
        large = [f"large{number}" for number in range(9)]
        small = [f"small{number}" for number in range(9)]
        self.models += [spec(name) for name in large]
        self.models += [spec(name, 16.0) for name in small]
        self.report_demand(demand("rare", 2, returning=2))
        self.views = {"x": view("x", report(disk=large)), "y": view("y", report(disk=small))}
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))
        self.views["z"] = view("z", report(disk=large, busy=True))
        self.assertEqual(self.choices()[0][:2], ("x", "rare"))

    def test_a_load_from_the_store_may_evict_what_few_ask_for_to_drop_no_last_copy(self):
        """A model that a host has is back within a second; a last copy is not."""
        large = [f"large{number}" for number in range(9)]
        self.models += [spec(name) for name in large]
        self.views = {
            "x": view("x", report(disk=large)),
            "y": view("y", report(("warm", "other"), disk=("warm", "other"))),
        }
        for second in range(8):
            self.report_demand(demand("rare", second + 1), now_s=NOW_S - 12.0 + second)
        self.report_demand(demand("warm", 2), now_s=NOW_S - 2.0)
        self.report_demand(demand("other", 2), now_s=NOW_S - 2.0)
        self.report_demand(demand("rare", 8, returning=1))
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_the_store_loads_what_most_clients_have_asked_for_lately(self):
        self.views = {"y": view("y", report())}
        self.history.store.concurrency_limit = 1
        for second in range(10):
            self.report_demand(demand("rare", second + 1), now_s=NOW_S - 12.0 + second)
        self.report_demand(demand("other", 4), now_s=NOW_S - 1.0)
        self.report_demand(demand("rare", 10, returning=1), demand("other", 4, returning=2))
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_what_many_asked_for_long_ago_comes_after_what_some_ask_for_now(self):
        self.views = {"y": view("y", report())}
        self.history.store.concurrency_limit = 1
        self.report_demand(demand("rare", 10), now_s=NOW_S - 60.0)
        self.report_demand(demand("other", 2), now_s=NOW_S - 1.0)
        self.report_demand(demand("rare", 10, returning=1), demand("other", 2, returning=1))
        self.assertEqual(self.choices()[0][:2], ("y", "other"))

    def test_the_store_passes_over_no_model_whose_clients_were_all_refused(self):
        self.views = {"y": view("y", report())}
        self.history.store.concurrency_limit = 1
        for second in range(12):
            self.report_demand(demand("rare", second + 1), now_s=NOW_S - 12.0 + second)
        self.report_demand(demand("other", 3, returning=2))
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_a_new_leader_gives_the_store_to_no_model_by_the_report_of_one_entry(self):
        self.views = {"y": view("y", report())}
        self.report_demand(demand("rare", 1, returning=1))
        self.history.knows_demand = False
        self.assertEqual(self.choices(), [])
        self.report_demand(demand("other", 3, returning=3), entry="f")
        self.history.knows_demand = True
        self.assertEqual(self.choices()[0][1], "other")

    def test_a_new_leader_loads_at_once_what_many_ask_for(self):
        self.views = {"y": view("y", report())}
        self.report_demand(demand("rare", 5, returning=5))
        self.history.knows_demand = False
        self.assertEqual(self.choices()[0][1], "rare")

    def test_the_store_is_not_idle_while_a_model_without_any_copy_is_asked_for(self):
        self.views = {"y": view("y", report())}
        self.report_demand(demand("rare", 3), now_s=NOW_S - 9.0)
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))
        self.assertEqual(self.choices(NOW_S + 30.0), [], "asked for long ago")

    def test_a_model_that_no_host_has_comes_before_one_that_hosts_have_if_more_ask_for_it(self):
        self.models = [spec("rare", store_load_ms=13_200), spec("warm", store_load_ms=13_200)]
        self.history.store.concurrency_limit = 1
        message = ChangeModels(1, 1, "x", (), "other")
        pending = PendingChange(message, 1, "disk", NOW_S, NOW_S + 2)
        self.views = {"x": view("x", report(disk=("warm",)), pending), "y": view("y", report())}
        self.add_waiting("warm", waiting=9)
        self.report_demand(demand("rare", 17))
        self.assertEqual(self.choices(NOW_S + 13.3), [("y", "rare", (), "store")])

    def test_a_model_on_a_host_comes_before_one_that_only_the_store_has(self):
        self.views = {"y": view("y", report(disk=("rare",)))}
        self.report_demand(demand("rare", 1, returning=1), demand("other", 9, returning=9))
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_returning_clients_cause_a_load_from_the_store(self):
        self.views = {"y": view("y", report(("hot",)))}
        self.warm_up(hot=1)
        self.report_demand(demand("rare", 2, returning=2))
        self.assertEqual(self.choices()[0], ("y", "rare", (), "store"))

    def test_very_high_demand_may_exceed_the_store_limit(self):
        for number in range(4):
            message = ChangeModels(1, 1, f"y{number}", (), "other")
            pending = PendingChange(message, 1, "store", NOW_S, NOW_S + 6)
            self.views[f"y{number}"] = view(f"y{number}", report(), pending)
        self.views["x"] = view("x", report())
        self.add_waiting("rare", waiting=5)
        self.assertEqual(self.choices(), [])
        self.add_waiting("rare", waiting=20)
        self.assertEqual(self.choices(), [], "the store's speed is not known yet")
        self.history.store.is_measured = True
        self.assertEqual(self.choices()[0][:2], ("x", "rare"))

    def chosen_beside_a_load_that_ends_in(self, remaining_s, is_measured, has_begun=True):
        """Return the models loaded from a store that carries one load, for very high demand."""
        message = ChangeModels(1, 1, "y", (), "other")
        pending = PendingChange(message, 1, "store", NOW_S, NOW_S + remaining_s)
        self.models = [spec("rare", store_load_ms=13_200)]
        self.history = PlacementHistory()
        if is_measured:
            self.history.store.is_measured = True
            self.history.store.concurrency_limit = 1
        self.views = {"y": view("y", report(busy=has_begun), pending), "x": view("x", report())}
        self.add_waiting("rare", waiting=40)
        return [choice[1] for choice in self.choices()]

    def test_a_second_load_does_not_start_in_the_middle_of_one_on_an_unmeasured_store(self):
        for remaining_s in (0.7, 8.0, 11.0):
            chosen = self.chosen_beside_a_load_that_ends_in(remaining_s, is_measured=False)
            self.assertEqual(chosen, [], remaining_s)
        self.assertEqual(self.chosen_beside_a_load_that_ends_in(13.0, is_measured=False), ["rare"])

    def test_a_second_load_does_not_overtake_one_that_the_store_has_not_begun(self):
        chosen = self.chosen_beside_a_load_that_ends_in(13.2, is_measured=False, has_begun=False)
        self.assertEqual(chosen, [])

    def test_a_store_measured_to_carry_one_load_gets_no_second_one(self):
        self.history.store.is_measured = True
        self.assertEqual(self.chosen_beside_a_load_that_ends_in(13.0, is_measured=True), [])

    def test_the_store_limit_bounds_concurrent_loads(self):
        message = ChangeModels(1, 1, "y", (), "other")
        pending = PendingChange(message, 1, "store", NOW_S, NOW_S + 6)
        self.views = {"y": view("y", report(), pending), "x": view("x", report())}
        self.add_waiting("rare", waiting=20)
        self.assertEqual(self.choices()[0][:2], ("x", "rare"))
        self.history.store.concurrency_limit = 1
        self.assertEqual(self.choices(), [])

    def started_beside_a_store_load(self, name, store_load_ms, waiting, remaining_s=6.0):
        """Return the models loaded beside a store load, while the store is not measured."""
        message = ChangeModels(1, 1, "y", (), "other")
        pending = PendingChange(message, 1, "store", NOW_S, NOW_S + remaining_s)
        self.models = [spec(name, store_load_ms=store_load_ms)]
        self.history = PlacementHistory()
        self.views = {"y": view("y", report(busy=True), pending), "x": view("x", report())}
        self.add_waiting(name, waiting=waiting)
        return [choice[1] for choice in self.choices()]

    def test_an_unmeasured_slow_store_gets_one_load_at_a_time(self):
        """If the store supports one load, a model in high demand would queue behind the others."""
        self.assertEqual(self.started_beside_a_store_load("rare", 13_200, 5), [])
        self.assertEqual(self.started_beside_a_store_load("quick", 6_000, 5), ["quick"])

    def test_an_unmeasured_store_gets_a_second_load_only_together_with_the_first(self):
        self.assertEqual(self.started_beside_a_store_load("rare", 13_200, 20), [])
        self.assertEqual(self.started_beside_a_store_load("rare", 13_200, 20, 13.2), ["rare"])

    def test_an_unmeasured_store_is_measured_with_a_load_that_a_single_client_asks_for(self):
        self.assertEqual(self.started_beside_a_store_load("rare", 13_200, 1, 13.2), ["rare"])

    def test_loads_started_by_another_leader_count(self):
        busy = report()
        self.models = [spec("rare", store_load_ms=13_200)]
        self.history = PlacementHistory()
        self.views = {"y": view("y", busy), "x": view("x", report())}
        self.views["y"].changing = True
        self.add_waiting("rare", waiting=5)
        self.assertEqual(self.choices(), [])

    def test_the_store_is_not_used_if_a_host_is_about_to_evict_a_busy_model(self):
        self.models = [spec("warm", 60.0), spec("rare")]
        self.views = {
            "x": view("x", report(("warm",), disk=("warm", "rare"))),
            "y": view("y", report()),
        }
        self.report_demand(demand("warm", 1, in_flight=1), now_s=NOW_S - 3.0)
        self.add_waiting("rare", waiting=5)
        self.assertEqual(self.choices(NOW_S + 1.1), [])
        self.assertEqual(self.choices(NOW_S + 1.3), [("x", "rare", ("warm",), "disk")])

    def choose_while_the_only_host_is_busy(self, store_load_ms, waited_s):
        """Return what is loaded elsewhere while the engine on the only host exchanges models."""
        self.models = [spec("rare", store_load_ms=store_load_ms), spec("warm")]
        message = ChangeModels(1, 1, "x", (), "warm")
        pending = PendingChange(message, 1, "disk", NOW_S, NOW_S + 2)
        self.views = {
            "x": view("x", report(disk=("rare", "warm")), pending),
            "y": view("y", report()),
        }
        self.add_waiting("rare", waiting=9)
        return self.choices(NOW_S + waited_s)

    def test_the_store_does_not_step_in_for_a_host_whose_engine_is_busy_for_a_moment(self):
        self.assertEqual(self.choose_while_the_only_host_is_busy(13_200, 1.1), [])
        self.assertEqual(self.choose_while_the_only_host_is_busy(13_200, 13.0), [])

    def test_the_store_steps_in_for_a_host_once_a_load_would_have_been_there(self):
        from_store = [("y", "rare", (), "store")]
        self.assertEqual(self.choose_while_the_only_host_is_busy(13_200, 13.3), from_store)

    def test_a_load_within_the_patience_of_those_who_wait_steps_in_for_a_host(self):
        from_store = [("y", "rare", (), "store")]
        self.assertEqual(self.choose_while_the_only_host_is_busy(6_000, 1.1), from_store)

    def put_store_load(self, endpoint_id, model, left_s=8):
        """Add an engine that a model is being loaded on from the store."""
        message = ChangeModels(1, 1, endpoint_id, (), model)
        pending = PendingChange(message, 1, "store", NOW_S - 5, NOW_S + left_s)
        self.views[endpoint_id] = view(endpoint_id, report(), pending)

    def test_a_model_coming_from_the_store_is_loaded_from_a_host_that_has_returned(self):
        self.put_store_load("y", "rare")
        self.views["x"] = view("x", report(disk=("rare",)))
        self.add_waiting("rare", waiting=5)
        self.assertEqual(self.choices(), [("x", "rare", (), "disk")])

    def test_a_model_that_the_store_delivers_soon_is_not_loaded_from_a_host_too(self):
        self.views["x"] = view("x", report(disk=("rare",)))
        self.add_waiting("rare", waiting=5)
        self.put_store_load("y", "rare", left_s=4)
        self.assertEqual(self.choices(), [])
        self.put_store_load("y", "rare", left_s=-1)
        self.assertEqual(self.choices(), [("x", "rare", (), "disk")], "it is overdue")

    def test_a_model_that_no_host_could_load_is_not_loaded_from_one_while_the_store_delivers_it(
        self,
    ):
        self.views["x"] = view("x", report(disk=("rare",)))
        self.add_waiting("rare", waiting=5)
        for left_s, expected in ((6.9, []), (8.0, [("x", "rare", (), "disk")])):
            self.put_store_load("y", "rare", left_s)
            self.views["y"].pending.is_fallback = True
            self.assertEqual(self.choices(), expected, "the load takes 5 s more than is left")

    def test_a_copy_coming_from_the_store_does_not_make_the_loaded_one_redundant(self):
        self.warm_up(hot=9, warm=9)
        self.put_store_load("y", "hot")
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare", "hot", "warm")))
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_model_coming_from_the_store_is_not_loaded_from_it_again(self):
        self.put_store_load("y", "rare")
        self.views["x"] = view("x", report())
        self.add_waiting("rare", waiting=20)
        self.assertEqual(self.choices(), [])

    def lose_the_host_of_rare(self, **leaving):
        """Remove the only host with a model that requests wait for, half a second ago."""
        self.models = [spec("rare")]
        self.views = {"x": view("x", report(disk=("rare",))), "y": view("y", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        self.history.observe(self.views.values(), NOW_S - 0.5, **leaving)
        del self.views["x"]
        self.history.observe(self.views.values(), NOW_S - 0.5)
        self.add_waiting("rare", waiting=20)

    def test_the_store_is_not_used_for_a_model_whose_host_may_return(self):
        self.lose_the_host_of_rare()
        self.assertEqual(self.choices(), [])
        self.assertEqual(self.choices(NOW_S + 6.0)[0], ("y", "rare", (), "store"))

    def test_a_new_leader_waits_for_a_host_that_its_agent_still_reports(self):
        self.models = [spec("rare")]
        self.views = {"y": view("y", report())}
        unresponsive = {"10.0.0.1:1": frozenset({"rare"})}
        for at_s in (NOW_S - 6.0, NOW_S):
            self.history.observe(self.views.values(), at_s, unresponsive=unresponsive)
            self.report_demand(demand("rare", 20, 20), now_s=at_s)
            chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, at_s)
            sources = [choice.source for choice in chosen.choices()]
            self.assertEqual(sources, [] if at_s < NOW_S else ["store"])

    def test_a_model_of_a_host_that_left_is_loaded_from_the_store_at_once(self):
        self.lose_the_host_of_rare(leaving_ids={"x"})
        self.assertEqual(self.choices()[0], ("y", "rare", (), "store"))

    def test_a_model_that_an_earlier_leader_loads_is_not_loaded_elsewhere(self):
        for source in ({"disk": ("rare",)}, {}):
            self.views = {"y": view("y", report(**source)), "x": view("x", report(**source))}
            self.views["y"].changing = True
            self.views["y"].changing_to = "rare"
            self.add_waiting("rare", waiting=20)
            self.assertEqual(self.choices(), [], source)

    def test_a_load_from_the_store_does_not_evict_models_in_high_demand(self):
        """The evicted model would be unavailable for as long as the load takes."""
        self.warm_up(hot=4, other=4)
        self.views = {"x": view("x", report(("hot", "other"), disk=("hot", "other")))}
        self.add_waiting("rare", waiting=5)
        self.assertEqual(self.choices(), [])


if __name__ == "__main__":
    unittest.main()
