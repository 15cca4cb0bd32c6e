"""Test which model exchanges placement chooses, and how endpoint rows are built."""

import unittest
from dataclasses import replace

import msgspec

from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_control.fleet.engine_view import EngineView, PendingChange
from hemlockdock_control.fleet.engine_views import SILENCE_S
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_control.fleet.placement import RESEND_S, WITHHOLD_S, Placement
from hemlockdock_control.fleet.placement_history import PlacementHistory
from hemlockdock_control.fleet.registry import (
    REPORT_MAX_AGE_S,
    AgentReport,
    EndpointRegistry,
    changed_rows,
)
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.state.context import StateContext
from hemlockdock_control.state.routes import Endpoints
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.messages import (
    ChangeModels,
    DemandReport,
    EndpointReport,
    EngineFacts,
    ModelDemand,
)
from hemlockdock_core.rows import EngineSpec, ModelSpec, PoolRow
from hemlockdock_core.wire import EngineReport, ListedEndpoint, LoadedModel

POOL = "p"
NOW_S = 100.0
EPSILON_S = 0.001


def spec(name, mb=34.0, store_load_ms=6_000):
    return ModelSpec(name, mb, 0, 0.0, store_load_ms, 390, 510)


def pool(*models):
    return PoolRow(POOL, "/", 100, EngineSpec(32, 1_000, 1, 83.0, 8, 56.0, 320.0, 5.0, models))


def report(models=(), disk=(), memory=(), busy=False, started_ms=1, running=0):
    loaded = tuple(LoadedModel(name, 1, frozenset()) for name in models)
    return EngineReport(
        started_ms,
        0,
        busy,
        False,
        None,
        loaded,
        frozenset(),
        frozenset(memory),
        frozenset(disk),
        0,
        running,
        0,
        0,
    )


def view(endpoint_id, engine_report, pending=None):
    return EngineView(endpoint_id, f"tcp://{endpoint_id}", engine_report, 0, False, 1, pending)


def demand(
    model,
    arrivals=0,
    waiting=0,
    in_flight=0,
    in_time=0,
    target_left_ms=0,
    urgency=1,
    returning=0,
):
    return ModelDemand(
        POOL, model, arrivals, waiting, in_flight, in_time, target_left_ms, urgency, returning
    )


def wall_ms(now_s, step_ms=0):
    return round(now_s * 1_000) + 1_000_000 + step_ms


class ChoiceTest(unittest.TestCase):
    """Choose exchanges for a load that requests more models than fit into the engines."""

    def setUp(self):
        self.models = [spec("hot"), spec("warm"), spec("rare"), spec("other"), spec("small", 16.0)]
        self.board = DemandAggregator()
        self.views = {}
        self.history = PlacementHistory()
        self.history.store.concurrency_limit = 4

    def report_demand(self, *demands, now_s=NOW_S, entry="e"):
        self.board.record_report(entry, DemandReport(demands), now_s)

    def warm_up(self, **rates):
        """Report arrivals over twelve seconds so that request rates are established."""
        for second in range(int(NOW_S) - 12, int(NOW_S)):
            for model, rate in rates.items():
                usage = self.board.demand_by_model.get((POOL, model))
                known = usage.demand_by_entry["e"].arrivals if usage else 0
                self.report_demand(demand(model, known + rate), now_s=float(second))

    def arrivals(self, model):
        usage = self.board.demand_by_model.get((POOL, model))
        return usage.demand_by_entry["e"].arrivals if usage else 0

    def add_waiting(self, model, waiting=1, **more):
        self.report_demand(demand(model, self.arrivals(model) + waiting, waiting, **more))

    def choices(self, now_s=NOW_S):
        self.history.observe(self.views.values(), now_s - 60.0)
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, now_s)
        return [(c.endpoint_id, c.model.name, c.unload, c.source) for c in chosen.choices()]

    def test_a_rare_model_evicts_the_least_requested_one(self):
        self.warm_up(hot=9)
        self.report_demand(demand("warm", 1), now_s=NOW_S - 3.0)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare", "hot", "warm")))
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [("x", "rare", ("warm",), "disk")])

    def test_a_model_that_only_the_store_has_is_not_evicted_for_one_request(self):
        self.warm_up(hot=9, warm=1)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare",)))
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_one_request_does_not_evict_a_model_in_high_demand(self):
        self.warm_up(hot=9, warm=9)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare",)))
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_model_with_requests_in_flight_is_not_evicted(self):
        self.warm_up(hot=9)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare", "hot", "warm")))
        self.report_demand(demand("hot", self.arrivals("hot"), in_flight=3))
        self.report_demand(demand("warm", 1, in_flight=1), now_s=NOW_S - 3.0)
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])
        self.report_demand(demand("warm", 1, in_flight=0))
        self.assertEqual(self.choices()[0][1:3], ("rare", ("warm",)))

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

    def test_a_model_on_a_host_comes_before_one_that_only_the_store_has(self):
        self.views = {"y": view("y", report(disk=("rare",)))}
        self.report_demand(demand("rare", 1, returning=1), demand("other", 9, returning=9))
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_the_model_with_most_adapters_is_prefetched(self):
        many = msgspec.structs.replace(spec("many"), adapters=4)
        self.models = [spec("few"), many]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, NOW_S)
        self.assertEqual([choice.model.name for choice in chosen.choices()], ["many"])

    def test_returning_clients_cause_a_load_from_the_store(self):
        self.views = {"y": view("y", report())}
        self.warm_up(hot=1)
        self.report_demand(demand("rare", 2, returning=2))
        self.assertEqual(self.choices()[0], ("y", "rare", (), "store"))

    def test_memory_is_preferred_to_disk(self):
        self.views = {
            "x": view("x", report(disk=("rare",))),
            "y": view("y", report(disk=("rare",), memory=("rare",))),
        }
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_reachable_targets_come_before_missed_ones(self):
        self.views = {"x": view("x", report(disk=("rare", "other")))}
        self.add_waiting("rare", waiting=3, in_time=0)
        self.add_waiting("other", in_time=1, target_left_ms=1_500)
        self.assertEqual(self.choices()[0][1], "other")

    def test_more_urgent_requests_come_first(self):
        self.views = {"x": view("x", report(disk=("rare", "other")))}
        self.add_waiting("rare", in_time=1, target_left_ms=1_000, urgency=1)
        self.add_waiting("other", in_time=1, target_left_ms=1_500, urgency=0)
        self.assertEqual(self.choices()[0][1], "other")

    def test_two_models_in_high_demand_do_not_evict_each_other(self):
        """A model whose only local copy is on a busy host is loaded elsewhere from the store."""
        self.models = [spec("hot", 60.0), spec("other", 60.0), spec("rare")]
        self.warm_up(hot=25, other=5)
        self.views = {
            "x": view("x", report(("hot",), disk=("hot", "other"))),
            "y": view("y", report(("rare",), disk=("rare",))),
        }
        self.add_waiting("other", waiting=15)
        self.assertEqual(self.choices(), [])
        later_s = NOW_S + 1.5
        self.assertEqual(self.choices(later_s)[0], ("y", "other", ("rare",), "store"))

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

    def test_a_model_that_exceeds_the_engine_memory_is_not_loaded(self):
        self.models.append(spec("huge", 90.0))
        self.views = {"x": view("x", report(("hot", "warm"), disk=("huge",)))}
        self.add_waiting("huge", waiting=50, in_time=50, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_an_engine_with_a_pending_exchange_gets_no_other(self):
        message = ChangeModels(1, 1, "x", (), "other")
        pending = PendingChange(message, 1, "disk", NOW_S, NOW_S + 1)
        self.views = {"x": view("x", report(disk=("rare",)), pending)}
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_an_overloaded_model_gets_another_copy(self):
        self.views = {
            "x": view("x", report(("hot",), disk=("hot",))),
            "y": view("y", report(disk=("hot",))),
        }
        self.warm_up(hot=9)
        self.report_demand(demand("hot", self.arrivals("hot"), in_flight=40))
        self.assertEqual(self.choices()[0], ("y", "hot", (), "disk"))

    def prefetched_count(self, store_load_ms):
        """Return how many models are prefetched without any demand, all loads starting at once."""
        names = ("a", "b", "c", "d")
        self.models = [ModelSpec(name, 34.0, 0, 0.0, store_load_ms, 390, 510) for name in names]
        self.views = {name: view(name, report()) for name in ("w", "x", "y", "z")}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        fetched = []
        for _ in names:
            chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, NOW_S)
            for choice in chosen.choices():
                message = ChangeModels(1, 1, choice.endpoint_id, (), choice.model.name)
                ready_s = NOW_S + choice.takes_s
                pending = PendingChange(message, 1, choice.source, NOW_S, ready_s)
                self.views[choice.endpoint_id] = view(
                    choice.endpoint_id, report(busy=True), pending
                )
                fetched.append(choice.model.name)
        return len(fetched)

    def test_prefetching_is_limited_to_12_s_of_sequential_loads(self):
        """The store may support a single load, and other models will be requested later."""
        self.assertEqual(self.prefetched_count(6_000), 2)

    def test_of_models_with_longer_loads_two_are_prefetched_to_measure_the_store(self):
        self.assertEqual(self.prefetched_count(13_200), 2)

    def test_a_model_with_a_longer_load_is_prefetched_alone_from_a_measured_store(self):
        self.history.store.is_measured = True
        self.history.store.concurrency_limit = 1
        self.assertEqual(self.prefetched_count(13_200), 1)

    def test_what_an_unlisted_host_has_is_not_prefetched(self):
        self.models = [spec("a", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        self.history.observe_reports({"x": frozenset(), "y": frozenset({"a"})}, NOW_S - 1.0)
        self.assertEqual(self.choices_now(), [])
        self.history.observe_reports({"x": frozenset()}, NOW_S)
        self.assertEqual(self.choices_now(), ["a"])

    def test_prefetching_does_not_wait_for_the_directory_once_agents_have_reported(self):
        self.models = [spec("a", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe_reports({"x": frozenset(), "y": frozenset()}, NOW_S - 1.0)
        self.history.observe(self.views.values(), NOW_S)
        self.assertEqual(self.choices_now(), ["a"])

    def test_nothing_is_prefetched_while_agents_still_report_for_the_first_time(self):
        self.models = [spec("a", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S)
        self.history.observe_reports({"x": frozenset(), "y": frozenset()}, NOW_S - 0.5)
        self.assertEqual(self.choices_now(), [])

    def test_a_new_leader_prefetches_no_guess_once_clients_have_asked(self):
        self.models = [spec("a", store_load_ms=13_200), spec("asked", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        self.report_demand(demand("asked", 9))
        self.assertNotIn("a", self.choices_now())

    def choices_now(self):
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, NOW_S)
        return [choice.model.name for choice in chosen.choices()]

    def test_a_model_that_was_just_loaded_is_not_evicted(self):
        self.views = {"x": view("x", report(("warm", "hot"), disk=("rare",)))}
        self.warm_up(hot=9)
        self.history.recent_loads.note("x", "warm", NOW_S - 0.1)
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])


def listed(endpoint_id="e", leaving=False):
    return ListedEndpoint(endpoint_id, POOL, f"10.0.0.1:{len(endpoint_id)}", "d", 32, leaving, ())


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.registry = EndpointRegistry()
        self.limits = RequestLimits(0.0)
        self.registry.set_directory([listed()])
        self.placement = Placement()
        self.board = DemandAggregator()
        self.pool = pool(spec("rare"), spec("warm"))
        self.now_s = NOW_S
        self.facts_number = 0
        self.models = ("warm",)

    def report(self, change_number=0, changing=False, incarnation=1, changing_to=""):
        body = EndpointReport(
            POOL,
            listed().address,
            report(self.models, disk=("rare",)),
            change_number,
            changing,
            self.facts_number,
            changing_to=changing_to,
        )
        self.registry.record_report(AgentReport("tcp://a", incarnation, body, self.now_s))

    def rows(self):
        return self.registry.rows(self.now_s, self.placement, self.limits)

    def decide(self, seconds=0.0):
        self.now_s += seconds
        messages = self.placement.decide(
            [self.pool], self.rows(), self.registry, self.board, self.now_s, 3
        )
        return [message.message for message in messages]

    def report_waiting(self, model):
        self.board.record_report("x", DemandReport((demand(model, 9, 9, 0, 9, 2_000),)), self.now_s)

    def begin_exchange(self, with_demand=True):
        """Report waiting requests for a model that has to replace another one."""
        self.pool = pool(spec("rare", 60.0), spec("warm"))
        self.report()
        self.facts_number = self.decide()[0].number
        self.report()
        if with_demand:
            self.board.record_report("y", DemandReport((demand("warm", 2),)), self.now_s)
        self.report_waiting("rare")

    def test_facts_are_sent_until_the_agent_reports_their_number(self):
        self.report()
        first = self.decide()
        self.assertIsInstance(first[0], EngineFacts)
        self.facts_number = first[0].number
        self.report()
        self.assertEqual(self.decide(), [])

    def test_a_model_is_withheld_before_it_is_unloaded(self):
        self.begin_exchange()
        self.assertEqual(self.decide(), [])
        self.assertEqual(self.rows()["e"].models, ())
        self.assertEqual(self.rows()["e"].arriving[0].name, "rare")
        sent = self.decide(WITHHOLD_S + EPSILON_S)
        self.assertEqual([(m.unload, m.load, m.term) for m in sent], [(("warm",), "rare", 3)])

    def test_a_model_without_demand_is_unloaded_at_once(self):
        self.begin_exchange(with_demand=False)
        self.assertEqual([m.load for m in self.decide()], ["rare"])

    def test_an_exchange_is_resent_until_the_agent_accepts_it(self):
        self.begin_exchange()
        self.decide()
        number = self.decide(WITHHOLD_S + EPSILON_S)[0].number
        self.assertEqual(self.decide(), [])
        self.assertEqual(self.decide(RESEND_S + EPSILON_S)[0].number, number)
        self.report(number, changing=True)
        self.assertEqual(self.decide(RESEND_S + EPSILON_S), [])

    def test_the_store_estimate_survives_a_change_of_leader(self):
        self.models = ()
        self.pool = pool(spec("rare"), spec("only-in-store"))
        self.report()
        self.facts_number = self.decide()[0].number
        self.report()
        self.report_waiting("only-in-store")
        number = self.decide()[0].number
        for _ in range(12):
            self.now_s += 1.0
            self.report(number, changing=True)
            self.decide()
        self.placement.clear()
        self.assertEqual(self.placement.store.concurrency_limit, 1)

    def test_an_exchange_ends_when_the_agent_reports_its_end(self):
        self.begin_exchange()
        self.decide()
        number = self.decide(WITHHOLD_S + EPSILON_S)[0].number
        self.models = ("rare",)
        self.report(number)
        self.decide()
        self.assertEqual(self.placement.pending_by_id, {})
        self.assertEqual([model.name for model in self.rows()["e"].models], ["rare"])

    def test_the_store_is_not_free_while_an_engine_that_leaves_loads_from_it(self):
        staying = listed("staying")
        self.registry.set_directory([listed(leaving=True), staying])
        self.pool = pool(spec("rare"), spec("warm"), spec("only-in-store", store_load_ms=13_200))
        self.report_waiting("only-in-store")
        for changing_to, expected in (("only-in-store", []), ("", ["only-in-store"])):
            if not changing_to:
                self.models = ("only-in-store",)
            self.report(1, changing=bool(changing_to), changing_to=changing_to)
            body = EndpointReport(POOL, staying.address, report(), 0, False, 0)
            self.registry.record_report(AgentReport("tcp://s", 1, body, self.now_s))
            loads = [m.load for m in self.decide() if isinstance(m, ChangeModels)]
            self.assertEqual(loads, expected)

    def begin_load_from_the_store(self):
        """Have one of two engines load a model from the store; return the engine's agent."""
        self.engines = {"e": listed("e"), "other": listed("other")}
        self.pool = pool(spec("only-in-store", store_load_ms=13_200))
        self.registry.set_directory(self.engines.values())
        self.report_engines("e", "other")
        self.facts_number = self.decide()[0].number
        self.report_engines("e", "other")
        self.report_waiting("only-in-store")
        (message,) = (m for m in self.decide() if isinstance(m, ChangeModels))
        return message

    def report_engines(self, *endpoint_ids, change=None):
        for endpoint_id in endpoint_ids:
            number = change.number if change and change.endpoint_id == endpoint_id else 0
            body = EndpointReport(
                POOL,
                self.engines[endpoint_id].address,
                report(),
                number,
                bool(number),
                self.facts_number,
                changing_to=change.load if number else "",
            )
            received = AgentReport(f"tcp://{endpoint_id}", 1, body, self.now_s)
            self.registry.record_report(received)

    def loads_while_silent(self, change, seconds):
        """Let only the other engine report; return the models whose loads are decided."""
        (other,) = set(self.engines) - {change.endpoint_id}
        loads = []
        for _ in range(round(seconds / 0.5)):
            self.now_s += 0.5
            self.report_engines(other)
            self.report_waiting("only-in-store")
            loads += [m.load for m in self.decide() if isinstance(m, ChangeModels)]
        return loads

    def test_what_a_silent_engine_loads_is_not_loaded_elsewhere(self):
        change = self.begin_load_from_the_store()
        self.report_engines("e", "other", change=change)
        self.assertEqual(self.loads_while_silent(change, SILENCE_S), [])
        self.report_engines("e", "other", change=change)
        self.decide()
        self.assertEqual(list(self.placement.pending_by_id), [change.endpoint_id])

    def test_what_an_engine_loads_that_stays_silent_is_loaded_elsewhere(self):
        change = self.begin_load_from_the_store()
        self.report_engines("e", "other", change=change)
        # The store goes on with the load until its planned end.
        self.assertEqual(self.loads_while_silent(change, 13.0), [])
        self.assertEqual(set(self.loads_while_silent(change, 1.0)), {"only-in-store"})

    def test_what_an_engine_loads_that_the_directory_lists_no_more_is_loaded_elsewhere(self):
        change = self.begin_load_from_the_store()
        (other,) = set(self.engines) - {change.endpoint_id}
        self.registry.set_directory([self.engines[other]])
        self.assertEqual(set(self.loads_while_silent(change, 2.0)), {"only-in-store"})

    def loads_after_a_loss(self, lose):
        """Lose an engine 4 s after the begin of its load; return when the load begins anew."""
        change = self.begin_load_from_the_store()
        (other,) = set(self.engines) - {change.endpoint_id}
        self.report_engines("e", "other", change=change)
        begin_s = self.now_s
        self.loads_while_silent(change, 2.0)
        lose(other)
        while self.now_s < begin_s + 30.0:
            if self.loads_while_silent(change, 0.5):
                return self.now_s - begin_s
        return None

    def test_the_store_is_not_free_before_the_planned_end_of_a_load_that_was_lost(self):
        def leave_the_directory(other):
            self.registry.set_directory([self.engines[other]])

        again_s = self.loads_after_a_loss(leave_the_directory)
        self.assertGreaterEqual(again_s, 13.2)
        self.assertLess(again_s, 14.5)

    def test_a_load_lost_just_after_its_begin_gets_no_second_one_beside_it(self):
        change = self.begin_load_from_the_store()
        (other,) = set(self.engines) - {change.endpoint_id}
        self.report_engines("e", "other", change=change)
        self.decide()
        self.registry.set_directory([self.engines[other]])
        self.assertEqual(self.loads_while_silent(change, 12.5), [])

    def lead_anew(self, rows, recorded_s, wall_step_ms=0):
        """Replace the leader by one that knows the recorded rows; its wall clock may differ."""
        context = StateContext(0)
        state = Endpoints(context)
        context.advance(1, wall_ms(recorded_s))
        state.record(RecordEndpoints(tuple(rows.values()), (), context.now_ms))
        self.placement = Placement()
        self.placement.observe_recorded(state.loads, self.now_s, wall_ms(self.now_s, wall_step_ms))
        self.registry.clear(self.now_s)

    def begin_of_next_load(self, change, other, wall_step_ms=0):
        """Elect another leader, lose the engine; return when the load begins anew."""
        begin_s = self.now_s
        rows = self.registry.rows(self.now_s, self.placement, self.limits)
        self.now_s += 3.0
        self.lead_anew(rows, begin_s, wall_step_ms)
        self.registry.set_directory([self.engines[other]])
        while self.now_s < begin_s + 40.0:
            if self.loads_while_silent(change, 0.5):
                return self.now_s - begin_s
        return None

    def test_a_new_leader_waits_for_the_planned_end_of_a_load_lost_before_its_election(self):
        for wall_step_ms in (0, 3_000):
            self.setUp()
            change = self.begin_load_from_the_store()
            (other,) = set(self.engines) - {change.endpoint_id}
            again_s = self.begin_of_next_load(change, other, wall_step_ms)
            self.assertGreaterEqual(again_s, 13.2 - wall_step_ms / 1_000)
            self.assertLess(again_s, 14.0)

    def test_a_new_leader_knows_when_a_load_began_that_is_lost_later(self):
        change = self.begin_load_from_the_store()
        begin_s = self.now_s
        rows = self.registry.rows(self.now_s, self.placement, self.limits)
        self.now_s += 6.0
        self.lead_anew(rows, begin_s)
        self.registry.set_directory(self.engines.values())
        self.report_engines("e", "other", change=change)
        self.decide()
        (other,) = set(self.engines) - {change.endpoint_id}
        self.registry.set_directory([self.engines[other]])
        while not self.loads_while_silent(change, 0.5):
            self.assertLess(self.now_s - begin_s, 14.5)
        self.assertGreaterEqual(self.now_s - begin_s, 13.2)

    def test_the_store_is_used_before_the_directory_lists_all_engines_of_reporting_agents(self):
        self.engines = {"e": listed("e"), "other": listed("other")}
        self.pool = pool(spec("only-in-store", store_load_ms=13_200))
        loads = []
        for step in range(40):
            listed_count = min(2, max(0, (step - 20) // 10))
            self.registry.set_directory(list(self.engines.values())[:listed_count])
            self.report_engines("e", "other")
            for message in self.decide(0.1):
                if isinstance(message, ChangeModels):
                    loads.append((step, message.load))
                elif not self.facts_number:
                    self.facts_number = message.number
        self.assertEqual(loads[:1], [(30, "only-in-store")])

    def test_a_change_of_the_store_use_is_logged_once(self):
        self.report(change_number=7, changing=True)
        with self.assertLogs("hemlockdock_control.fleet.placement", "INFO") as logs:
            self.decide()
            self.decide()
        uses = [record for record in logs.records if "store use" in record.msg]
        self.assertEqual([(use.decided_loads, use.inherited_loads) for use in uses], [(0, 1)])

    def test_the_reason_of_an_idle_store_is_logged(self):
        self.begin_load_from_the_store()
        self.placement.clear()
        self.pool = pool(spec("warm", 60.0), spec("only-in-store", 60.0, store_load_ms=13_200))
        busy = report(("warm",), running=1)
        body = EndpointReport(POOL, self.engines["e"].address, busy, 0, False, self.facts_number)
        self.registry.record_report(AgentReport("tcp://e", 1, body, self.now_s))
        self.registry.set_directory([self.engines["e"]])
        self.report_waiting("only-in-store")
        self.board.record_report("x", DemandReport((demand("warm", 9, in_flight=9),)), self.now_s)
        with self.assertLogs("hemlockdock_control.fleet.placement", "INFO") as logs:
            self.decide()
        (use,) = [record for record in logs.records if "store use" in record.msg]
        self.assertEqual(use.idle_reason, "no_free_engine")


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = EndpointRegistry()
        self.limits = RequestLimits(0.0)
        self.placement = Placement()

    def take(self, incarnation, models, received_s=0.0):
        body = EndpointReport(POOL, listed().address, report(models), 0, False, 0)
        self.registry.record_report(AgentReport("tcp://a", incarnation, body, received_s))

    def names(self, now_s=0.0):
        return [
            model.name
            for model in self.registry.rows(now_s, self.placement, self.limits)["e"].models
        ]

    def test_there_are_no_rows_before_the_directory_is_read(self):
        self.assertIsNone(self.registry.rows(0.0, self.placement, self.limits))

    def test_a_fresh_report_overrides_the_directory(self):
        self.registry.set_directory([listed()])
        self.take(1, ("m",))
        self.assertEqual(self.names(), ["m"])
        self.assertEqual(self.names(REPORT_MAX_AGE_S + 0.1), [])

    def test_reports_of_an_older_agent_process_are_ignored(self):
        self.registry.set_directory([listed()])
        self.take(5, ("new",))
        self.take(4, ("old",))
        self.assertEqual(self.names(), ["new"])

    def test_an_engine_restarted_under_a_new_id_is_not_mistaken_for_the_previous_one(self):
        after = ListedEndpoint("new", POOL, listed().address, "d", 32, False, ())
        self.registry.set_directory([listed(), after])
        body = EndpointReport(
            POOL, listed().address, report(("m",)), 0, False, 0, endpoint_id="new"
        )
        self.registry.record_report(AgentReport("tcp://a", 1, body, 0.0))
        rows = self.registry.rows(0.0, self.placement, self.limits)
        self.assertEqual(list(rows), ["new"])
        self.assertEqual(rows["new"].models[0].name, "m")
        later = self.registry.rows(REPORT_MAX_AGE_S + 0.1, self.placement, self.limits)
        self.assertEqual(sorted(later), ["e", "new"])

    def test_an_engine_that_does_not_respond_keeps_its_weights_unless_it_leaves(self):
        self.registry.set_directory([listed()])
        for leaving, expected in ((False, {listed().address: {"a"}}), (True, {})):
            last = replace(report(disk=("a",)), leaving=leaving)
            body = EndpointReport(POOL, listed().address, last, 0, False, 0, answers=False)
            self.registry.record_report(AgentReport("tcp://a", 1, body, 0.0))
            self.assertEqual(self.registry.unresponsive_hosts(POOL, 0.0), expected)
            self.assertEqual(self.registry.unresponsive_hosts("other", 0.0), {})

    def recorded_rows(self):
        """Return the rows that a former leader has recorded while an engine loads a model."""
        self.registry.set_directory([listed()])
        self.report_load("a")
        pending = PendingChange(ChangeModels(1, 1, "e", (), "a"), 1, "store", 0.0, 13.0)
        self.placement.pending_by_id["e"] = pending
        rows = self.registry.rows(0.0, self.placement, self.limits)
        self.placement.clear()
        self.registry.clear(10.0)
        self.registry.set_directory([listed()])
        return rows

    def report_load(self, model, now_s=0.0):
        body = EndpointReport(
            POOL,
            listed().address,
            report(disk=("b",)),
            1,
            bool(model),
            0,
            changing_to=model,
        )
        self.registry.record_report(AgentReport("tcp://a", 1, body, now_s))

    def row(self, now_s, recorded):
        return self.registry.rows(now_s, self.placement, self.limits, recorded)["e"]

    def test_a_new_leader_keeps_what_is_known_of_a_host_until_its_agent_reports(self):
        recorded = self.recorded_rows()
        row = self.row(10.1, recorded)
        self.assertEqual((row.agent_address, row.on_host), ("tcp://a", ("b",)))
        self.assertEqual([model.name for model in row.arriving], ["a"])
        late = self.row(10.1 + REPORT_MAX_AGE_S, recorded)
        self.assertEqual((late.agent_address, late.on_host, late.arriving), ("", None, ()))

    def test_an_engine_at_another_address_is_not_taken_for_the_recorded_one(self):
        recorded = self.recorded_rows()
        moved = ListedEndpoint("e", POOL, "10.0.0.9:1", "d", 32, False, ())
        self.registry.set_directory([moved])
        self.assertIsNone(self.row(10.1, recorded).on_host)

    def test_a_load_that_an_earlier_leader_decided_stays_known_while_its_agent_reports_it(self):
        recorded = self.recorded_rows()
        for model, expected in (("a", ["a"]), ("", [])):
            self.report_load(model, 10.1)
            row = self.row(10.1, recorded)
            self.assertEqual([model.name for model in row.arriving], expected)

    def test_rows_list_the_weights_on_the_host(self):
        self.registry.set_directory([listed()])
        self.assertIsNone(self.registry.rows(0.0, self.placement, self.limits)["e"].on_host)
        body = EndpointReport(
            POOL, listed().address, report(disk=("b", "a"), memory=("b",)), 0, False, 0
        )
        self.registry.record_report(AgentReport("tcp://a", 1, body, 0.0))
        self.assertEqual(
            self.registry.rows(0.0, self.placement, self.limits)["e"].on_host, ("a", "b")
        )

    def on_host_while_unresponsive(self, seconds):
        self.registry.set_directory([listed()])
        for at_s, answers in ((0.0, True), (1.0, False), (1.0 + seconds, False)):
            last = report(("b",), disk=("b", "a"), memory=("c",))
            body = EndpointReport(POOL, listed().address, last, 0, False, 0, answers=answers)
            self.registry.record_report(AgentReport("tcp://a", 1, body, at_s))
        row = self.registry.rows(1.0 + seconds, self.placement, self.limits)["e"]
        return row.models, row.on_host

    def test_a_host_keeps_the_weights_on_its_disk_while_its_engine_restarts(self):
        self.assertEqual(self.on_host_while_unresponsive(7.9), ((), ("a", "b")))

    def test_a_host_whose_engine_stays_away_has_nothing_to_load(self):
        self.assertEqual(self.on_host_while_unresponsive(8.0), ((), ()))

    def on_host_of_silent(self, silent_s):
        self.registry.set_directory([listed()])
        body = EndpointReport(POOL, listed().address, report(disk=("a",)), 0, False, 0)
        self.registry.record_report(AgentReport("tcp://a", 1, body, 0.0))
        return self.registry.rows(silent_s, self.placement, self.limits)["e"].on_host

    def test_a_host_keeps_its_weights_while_its_agent_is_silent_for_a_while(self):
        self.assertEqual(self.on_host_of_silent(REPORT_MAX_AGE_S + 1.0), ("a",))
        self.assertEqual(self.on_host_of_silent(8.0), ())

    def on_host_of_new(self, seconds, other_reports):
        """Return what is taken to be on the host of an engine that was listed some time ago."""
        self.registry.set_directory([listed(), listed("new")])
        if other_reports:
            body = EndpointReport(POOL, listed().address, report(disk=("a",)), 0, False, 0)
            self.registry.record_report(AgentReport("tcp://a", 1, body, 0.0))
        self.registry.rows(0.0, self.placement, self.limits)
        return self.registry.rows(seconds, self.placement, self.limits)["new"].on_host

    def test_a_new_host_whose_agent_takes_long_to_start_has_nothing_to_load(self):
        self.assertIsNone(self.on_host_of_new(REPORT_MAX_AGE_S, other_reports=True))
        self.assertEqual(self.on_host_of_new(REPORT_MAX_AGE_S + 0.1, other_reports=True), ())

    def test_nothing_is_known_of_hosts_before_any_agent_has_reported(self):
        self.assertIsNone(self.on_host_of_new(60.0, other_reports=False))

    def test_rows_carry_the_software_version_of_the_directory(self):
        self.registry.set_directory([replace(listed(), software_version="v1.1"), listed("ff")])
        rows = self.registry.rows(0.0, self.placement, self.limits)
        self.assertEqual(rows["e"].software_version, "v1.1")
        self.assertEqual(rows["ff"].software_version, "")

    def test_a_leaving_endpoint_is_marked_as_leaving(self):
        self.registry.set_directory([listed(leaving=True)])
        self.assertTrue(self.registry.rows(0.0, self.placement, self.limits)["e"].leaving)

    def test_only_changed_rows_are_recorded(self):
        self.registry.set_directory([listed(), listed("ff")])
        rows = self.registry.rows(0.0, self.placement, self.limits)
        recorded = {"e": rows["e"], "old": rows["e"]}
        present, gone = changed_rows(rows, recorded)
        self.assertEqual([row.endpoint_id for row in present], ["ff"])
        self.assertEqual(gone, ("old",))


if __name__ == "__main__":
    unittest.main()
