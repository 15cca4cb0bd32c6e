"""Test how placement follows loads from the weight store: silent and lost engines, elections."""

import unittest

from support_fleet import POOL, PlacementCase, demand, listed, pool, report, spec, wall_ms

from hemlockdock_control.fleet.engine_views import SILENCE_S
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.registry import (
    AgentReport,
)
from hemlockdock_control.state.context import StateContext
from hemlockdock_control.state.model_loads import ModelLoads
from hemlockdock_control.state.routes import Endpoints
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.messages import (
    ChangeModels,
    DemandReport,
    EndpointReport,
)


class StoreLoadsTest(PlacementCase):
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

    def test_a_measurement_of_the_store_is_not_lost_if_all_members_start_anew(self):
        loads = ModelLoads(StateContext(0))
        loads.store_loads = 1
        self.placement = Placement()
        self.placement.observe_recorded(loads, self.now_s, wall_ms(self.now_s))
        store = self.placement.store
        self.assertEqual((store.is_measured, store.concurrency_limit), (True, 1))

    def test_a_member_that_has_measured_the_store_adopts_nothing(self):
        store = self.placement.store
        for key in ("a", "b"):
            store.record_start(("e", key), 6.0, self.now_s)
        for key in ("a", "b"):
            store.record_end(("e", key), True, self.now_s + 6.1)
        measured = store.concurrency_limit
        loads = ModelLoads(StateContext(0))
        loads.store_loads = 1
        self.placement.observe_recorded(loads, self.now_s, wall_ms(self.now_s))
        self.assertEqual(store.concurrency_limit, measured)

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

    def test_the_first_report_of_an_entry_to_a_new_leader_does_not_take_the_store(self):
        self.engines = {"e": listed("e")}
        self.pool = pool(spec("only-in-store", store_load_ms=13_200))
        self.registry.set_directory(self.engines.values())
        refused = DemandReport((demand("only-in-store", 1, returning=1),))
        self.board.record_report("x", refused, self.now_s)
        loads = []
        for step in range(15):
            self.report_engines("e")
            messages = self.decide(0.125)
            loads += [(step, m.load) for m in messages if isinstance(m, ChangeModels)]
            self.facts_number = self.facts_number or messages[0].number
        self.assertEqual(loads[:1], [(8, "only-in-store")])

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
        with self.assertLogs("hemlockdock_control.fleet.placement_log", "INFO") as logs:
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
        with self.assertLogs("hemlockdock_control.fleet.placement_log", "INFO") as logs:
            self.decide()
        (use,) = [record for record in logs.records if "store use" in record.msg]
        self.assertEqual(use.idle_reason, "no_free_engine")

    def test_the_demand_for_models_that_only_the_store_has_is_logged_as_a_load_begins(self):
        self.pool = pool(spec("warm"), spec("rare"), spec("asked"), spec("loaded"), spec("other"))
        self.report()
        self.decide()
        passed_over = demand("asked", 3)
        self.board.record_report(
            "x", DemandReport((demand("loaded", 9, 9), passed_over)), self.now_s
        )
        with self.assertLogs("hemlockdock_control.fleet.placement_log", "INFO") as logs:
            self.decide()
        (line,) = [record for record in logs.records if "store demand" in record.msg]
        expected = {"asked": {"lately": 3.0, "waiting": 0, "returning": 0}}
        self.assertEqual(line.asked, expected)


if __name__ == "__main__":
    unittest.main()
