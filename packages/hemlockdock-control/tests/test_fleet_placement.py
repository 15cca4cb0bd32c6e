"""Test which models the engines of a fleet exchange, and how endpoints reach the table."""

import unittest

from hemlockdock_control.fleet.demand import DemandBoard
from hemlockdock_control.fleet.engine_view import EngineView, PendingChange
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_control.fleet.placement import RESEND_S, WITHHOLD_S, Placement
from hemlockdock_control.fleet.placement_memory import PlacementMemory
from hemlockdock_control.fleet.registry import (
    REPORT_FRESH_S,
    AgentReport,
    EndpointRegistry,
    changed_rows,
)
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
LATE_S = 100.0
SLACK_S = 0.001


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


def view(endpoint_id, found, pending=None):
    return EngineView(endpoint_id, f"tcp://{endpoint_id}", found, 0, False, 1, pending)


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


class ChoiceTest(unittest.TestCase):
    """Play a moment of a load in which more models are asked for than fit."""

    def setUp(self):
        self.models = [spec("hot"), spec("warm"), spec("rare"), spec("other"), spec("small", 16.0)]
        self.board = DemandBoard()
        self.views = {}
        self.memory = PlacementMemory()
        self.memory.store.at_once = 4

    def ask(self, *demands, now_s=LATE_S, entry="e"):
        self.board.take(entry, DemandReport(demands), now_s)

    def warm_up(self, **rates):
        """Let models be asked for over some seconds, until rates are known."""
        for second in range(int(LATE_S) - 12, int(LATE_S)):
            for model, rate in rates.items():
                asked = self.board.use_by_model.get((POOL, model))
                known = asked.demand_by_entry["e"].arrivals if asked else 0
                self.ask(demand(model, known + rate), now_s=float(second))

    def arrivals(self, model):
        asked = self.board.use_by_model.get((POOL, model))
        return asked.demand_by_entry["e"].arrivals if asked else 0

    def wait(self, model, waiting=1, **more):
        self.ask(demand(model, self.arrivals(model) + waiting, waiting, **more))

    def choices(self, now_s=LATE_S):
        self.memory.see(self.views.values(), now_s - 60.0)
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.memory, now_s)
        return [(c.endpoint_id, c.model.name, c.unload, c.source) for c in chosen.choices()]

    def test_a_rare_model_displaces_the_one_least_asked_for(self):
        self.warm_up(hot=9)
        self.ask(demand("warm", 1), now_s=LATE_S - 3.0)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare", "hot", "warm")))
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [("x", "rare", ("warm",), "disk")])

    def test_a_model_that_only_the_store_has_is_not_displaced_for_one_request(self):
        self.warm_up(hot=9, warm=1)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare",)))
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_one_request_does_not_displace_a_model_that_many_ask_for(self):
        self.warm_up(hot=9, warm=9)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare",)))
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_model_that_runs_requests_is_left_alone(self):
        self.warm_up(hot=9)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare", "hot", "warm")))
        self.ask(demand("hot", self.arrivals("hot"), in_flight=3))
        self.ask(demand("warm", 1, in_flight=1), now_s=LATE_S - 3.0)
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])
        self.ask(demand("warm", 1, in_flight=0))
        self.assertEqual(self.choices()[0][1:3], ("rare", ("warm",)))

    def test_weights_at_hand_are_waited_for_rather_than_fetched(self):
        busy = report(("hot",), disk=("rare",), busy=True)
        self.views = {"x": view("x", busy), "y": view("y", report())}
        self.warm_up(hot=1)
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_model_without_a_copy_comes_from_the_store(self):
        self.views = {"y": view("y", report())}
        self.warm_up(hot=1)
        self.wait("rare", in_time=1, target_left_ms=9_000)
        self.assertEqual(self.choices()[0], ("y", "rare", (), "store"))

    def test_clients_that_will_come_back_are_fetched_for(self):
        self.views = {"y": view("y", report())}
        self.warm_up(hot=1)
        self.ask(demand("rare", 2, returning=2))
        self.assertEqual(self.choices()[0], ("y", "rare", (), "store"))

    def test_memory_is_preferred_to_disk(self):
        self.views = {
            "x": view("x", report(disk=("rare",))),
            "y": view("y", report(disk=("rare",), memory=("rare",))),
        }
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices()[0][:2], ("y", "rare"))

    def test_targets_that_can_still_be_met_come_before_those_that_passed(self):
        self.views = {"x": view("x", report(disk=("rare", "other")))}
        self.wait("rare", waiting=3, in_time=0)
        self.wait("other", in_time=1, target_left_ms=1_500)
        self.assertEqual(self.choices()[0][1], "other")

    def test_more_urgent_requests_come_first(self):
        self.views = {"x": view("x", report(disk=("rare", "other")))}
        self.wait("rare", in_time=1, target_left_ms=1_000, urgency=1)
        self.wait("other", in_time=1, target_left_ms=1_500, urgency=0)
        self.assertEqual(self.choices()[0][1], "other")

    def test_two_models_that_many_ask_for_do_not_displace_each_other(self):
        """The one whose only host is taken is fetched to another from the store."""
        self.models = [spec("hot", 60.0), spec("other", 60.0), spec("rare")]
        self.warm_up(hot=25, other=5)
        self.views = {
            "x": view("x", report(("hot",), disk=("hot", "other"))),
            "y": view("y", report(("rare",), disk=("rare",))),
        }
        self.wait("other", waiting=15)
        self.assertEqual(self.choices(), [])
        late_s = LATE_S + 1.5
        self.assertEqual(self.choices(late_s)[0], ("y", "other", ("rare",), "store"))

    def test_a_model_that_very_many_wait_for_is_fetched_beside_full_speed(self):
        for number in range(4):
            message = ChangeModels(1, 1, f"y{number}", (), "other")
            pending = PendingChange(message, 1, "store", LATE_S, LATE_S + 6)
            self.views[f"y{number}"] = view(f"y{number}", report(), pending)
        self.views["x"] = view("x", report())
        self.wait("rare", waiting=5)
        self.assertEqual(self.choices(), [])
        self.wait("rare", waiting=20)
        self.assertEqual(self.choices(), [], "the store's speed is not known yet")
        self.memory.store.is_known = True
        self.assertEqual(self.choices()[0][:2], ("x", "rare"))

    def test_no_more_is_fetched_than_the_store_carries(self):
        message = ChangeModels(1, 1, "y", (), "other")
        pending = PendingChange(message, 1, "store", LATE_S, LATE_S + 6)
        self.views = {"y": view("y", report(), pending), "x": view("x", report())}
        self.wait("rare", waiting=20)
        self.assertEqual(self.choices()[0][:2], ("x", "rare"))
        self.memory.store.at_once = 1
        self.assertEqual(self.choices(), [])

    def begun(self, name, store_load_ms, waiting):
        """Return what is fetched beside one load from the store, before its speed is known."""
        message = ChangeModels(1, 1, "y", (), "other")
        pending = PendingChange(message, 1, "store", LATE_S, LATE_S + 6)
        self.models = [spec(name, store_load_ms=store_load_ms)]
        self.memory = PlacementMemory()
        self.views = {"y": view("y", report(), pending), "x": view("x", report())}
        self.wait(name, waiting=waiting)
        return [choice[1] for choice in self.choices()]

    def test_a_slow_store_that_is_not_known_gets_one_load_at_a_time(self):
        """Where it carries no more, one that many wait for would stand behind the others."""
        self.assertEqual(self.begun("rare", 13_200, 5), [])
        self.assertEqual(self.begun("quick", 6_000, 5), ["quick"])

    def test_a_second_one_that_very_many_wait_for_shows_what_it_carries(self):
        self.assertEqual(self.begun("rare", 13_200, 20), ["rare"])

    def test_loads_that_another_leader_began_count(self):
        busy = report()
        self.models = [spec("rare", store_load_ms=13_200)]
        self.memory = PlacementMemory()
        self.views = {"y": view("y", busy), "x": view("x", report())}
        self.views["y"].changing = True
        self.wait("rare", waiting=5)
        self.assertEqual(self.choices(), [])

    def test_a_load_from_the_store_does_not_displace_what_many_ask_for(self):
        """It would be missed for as long as the load takes."""
        self.warm_up(hot=4, other=4)
        self.views = {"x": view("x", report(("hot", "other"), disk=("hot", "other")))}
        self.wait("rare", waiting=5)
        self.assertEqual(self.choices(), [])

    def test_no_engine_is_asked_for_more_than_it_holds(self):
        self.models.append(spec("huge", 90.0))
        self.views = {"x": view("x", report(("hot", "warm"), disk=("huge",)))}
        self.wait("huge", waiting=50, in_time=50, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_an_engine_with_an_exchange_under_way_gets_no_other(self):
        message = ChangeModels(1, 1, "x", (), "other")
        pending = PendingChange(message, 1, "disk", LATE_S, LATE_S + 1)
        self.views = {"x": view("x", report(disk=("rare",)), pending)}
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])

    def test_a_model_that_is_crowded_gets_another_copy(self):
        self.views = {
            "x": view("x", report(("hot",), disk=("hot",))),
            "y": view("y", report(disk=("hot",))),
        }
        self.warm_up(hot=9)
        self.ask(demand("hot", self.arrivals("hot"), in_flight=40))
        self.assertEqual(self.choices()[0], ("y", "hot", (), "disk"))

    def ahead(self, store_load_ms):
        """Return the models that are fetched before anybody asks, with all begun at once."""
        names = ("a", "b", "c", "d")
        self.models = [ModelSpec(name, 34.0, 0, 0.0, store_load_ms, 390, 510) for name in names]
        self.views = {name: view(name, report()) for name in ("w", "x", "y", "z")}
        self.memory.see(self.views.values(), LATE_S - 1.0)
        fetched = []
        for _ in names:
            chosen = ModelChoice(pool(*self.models), self.views, self.board, self.memory, LATE_S)
            for choice in chosen.choices():
                message = ChangeModels(1, 1, choice.endpoint_id, (), choice.model.name)
                pending = PendingChange(message, 1, choice.source, LATE_S, LATE_S + 6)
                self.views[choice.endpoint_id].pending = pending
                fetched.append(choice.model.name)
        return len(fetched)

    def test_before_anybody_asks_no_more_is_fetched_than_one_after_the_other_takes_12_s(self):
        """The store may carry one only, and others will be asked for."""
        self.assertEqual(self.ahead(6_000), 2)

    def test_one_that_takes_longer_is_fetched_alone(self):
        self.assertEqual(self.ahead(13_200), 1)

    def test_a_model_that_was_just_loaded_gets_time_for_its_requests(self):
        self.views = {"x": view("x", report(("warm", "hot"), disk=("rare",)))}
        self.warm_up(hot=9)
        self.memory.loads.note("x", "warm", LATE_S - 0.1)
        self.wait("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])


def listed(endpoint_id="e", leaving=False):
    return ListedEndpoint(endpoint_id, POOL, f"10.0.0.1:{len(endpoint_id)}", "d", 32, leaving, ())


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.registry = EndpointRegistry()
        self.registry.take_directory([listed()])
        self.placement = Placement()
        self.board = DemandBoard()
        self.pool = pool(spec("rare"), spec("warm"))
        self.now_s = LATE_S
        self.facts_number = 0
        self.models = ("warm",)

    def report(self, change_number=0, changing=False, incarnation=1):
        body = EndpointReport(
            POOL,
            listed().address,
            report(self.models, disk=("rare",)),
            change_number,
            changing,
            self.facts_number,
        )
        self.registry.take_report(AgentReport("tcp://a", incarnation, body, self.now_s))

    def rows(self):
        return self.registry.rows(self.now_s, self.placement)

    def decide(self, seconds=0.0):
        self.now_s += seconds
        letters = self.placement.decide(
            [self.pool], self.rows(), self.registry, self.board, self.now_s, 3
        )
        return [letter.message for letter in letters]

    def wait_for(self, model):
        self.board.take("x", DemandReport((demand(model, 9, 9, 0, 9, 2_000),)), self.now_s)

    def begin_exchange(self, asked=True):
        """Have a model waited for that takes the place of another one."""
        self.pool = pool(spec("rare", 60.0), spec("warm"))
        self.report()
        self.facts_number = self.decide()[0].number
        self.report()
        if asked:
            self.board.take("y", DemandReport((demand("warm", 2),)), self.now_s)
        self.wait_for("rare")

    def test_an_agent_is_told_the_facts_until_it_knows_them(self):
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
        sent = self.decide(WITHHOLD_S + SLACK_S)
        self.assertEqual([(m.unload, m.load, m.term) for m in sent], [(("warm",), "rare", 3)])

    def test_a_model_that_nobody_asks_for_is_not_waited_with(self):
        self.begin_exchange(asked=False)
        self.assertEqual([m.load for m in self.decide()], ["rare"])

    def test_an_exchange_is_sent_again_until_it_is_taken_on(self):
        self.begin_exchange()
        self.decide()
        number = self.decide(WITHHOLD_S + SLACK_S)[0].number
        self.assertEqual(self.decide(), [])
        self.assertEqual(self.decide(RESEND_S + SLACK_S)[0].number, number)
        self.report(number, changing=True)
        self.assertEqual(self.decide(RESEND_S + SLACK_S), [])

    def test_what_was_learnt_of_the_store_outlasts_a_change_of_leader(self):
        self.models = ()
        self.pool = pool(spec("rare"), spec("only-in-store"))
        self.report()
        self.facts_number = self.decide()[0].number
        self.report()
        self.wait_for("only-in-store")
        number = self.decide()[0].number
        for _ in range(12):
            self.now_s += 1.0
            self.report(number, changing=True)
            self.decide()
        self.placement.clear()
        self.assertEqual(self.placement.store.at_once, 1)

    def test_an_exchange_is_over_when_the_agent_says_so(self):
        self.begin_exchange()
        self.decide()
        number = self.decide(WITHHOLD_S + SLACK_S)[0].number
        self.models = ("rare",)
        self.report(number)
        self.decide()
        self.assertEqual(self.placement.pending_by_id, {})
        self.assertEqual([model.name for model in self.rows()["e"].models], ["rare"])


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = EndpointRegistry()
        self.placement = Placement()

    def take(self, incarnation, models, heard_s=0.0):
        body = EndpointReport(POOL, listed().address, report(models), 0, False, 0)
        self.registry.take_report(AgentReport("tcp://a", incarnation, body, heard_s))

    def names(self, now_s=0.0):
        return [model.name for model in self.registry.rows(now_s, self.placement)["e"].models]

    def test_nothing_is_known_before_the_directory_was_read(self):
        self.assertIsNone(self.registry.rows(0.0, self.placement))

    def test_a_fresh_report_goes_before_the_directory(self):
        self.registry.take_directory([listed()])
        self.take(1, ("m",))
        self.assertEqual(self.names(), ["m"])
        self.assertEqual(self.names(REPORT_FRESH_S + 0.1), [])

    def test_an_older_process_of_an_agent_is_not_heard(self):
        self.registry.take_directory([listed()])
        self.take(5, ("new",))
        self.take(4, ("old",))
        self.assertEqual(self.names(), ["new"])

    def test_an_engine_started_anew_under_another_id_is_not_taken_for_the_one_before(self):
        after = ListedEndpoint("new", POOL, listed().address, "d", 32, False, ())
        self.registry.take_directory([listed(), after])
        body = EndpointReport(
            POOL, listed().address, report(("m",)), 0, False, 0, endpoint_id="new"
        )
        self.registry.take_report(AgentReport("tcp://a", 1, body, 0.0))
        rows = self.registry.rows(0.0, self.placement)
        self.assertEqual(list(rows), ["new"])
        self.assertEqual(rows["new"].models[0].name, "m")
        later = self.registry.rows(REPORT_FRESH_S + 0.1, self.placement)
        self.assertEqual(sorted(later), ["e", "new"])

    def test_entries_learn_which_weights_a_host_has(self):
        self.registry.take_directory([listed()])
        self.assertIsNone(self.registry.rows(0.0, self.placement)["e"].on_host)
        body = EndpointReport(
            POOL, listed().address, report(disk=("b", "a"), memory=("b",)), 0, False, 0
        )
        self.registry.take_report(AgentReport("tcp://a", 1, body, 0.0))
        self.assertEqual(self.registry.rows(0.0, self.placement)["e"].on_host, ("a", "b"))

    def test_a_leaving_endpoint_is_shown_as_such(self):
        self.registry.take_directory([listed(leaving=True)])
        self.assertTrue(self.registry.rows(0.0, self.placement)["e"].leaving)

    def test_only_what_changed_is_recorded(self):
        self.registry.take_directory([listed(), listed("ff")])
        rows = self.registry.rows(0.0, self.placement)
        recorded = {"e": rows["e"], "old": rows["e"]}
        present, gone = changed_rows(rows, recorded)
        self.assertEqual([row.endpoint_id for row in present], ["ff"])
        self.assertEqual(gone, ("old",))


if __name__ == "__main__":
    unittest.main()
