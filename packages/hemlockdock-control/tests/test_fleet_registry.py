"""Test how endpoint rows are built from the directory and from reports."""

import unittest
from dataclasses import replace

from support_fleet import POOL, listed, report

from hemlockdock_control.fleet.engine_view import PendingChange
from hemlockdock_control.fleet.engine_views import EngineViews
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.registry import (
    REPORT_MAX_AGE_S,
    AgentReport,
    EndpointRegistry,
    changed_rows,
)
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.state.context import StateContext
from hemlockdock_control.state.model_loads import ModelLoad, ModelLoads
from hemlockdock_core.messages import (
    ChangeModels,
    EndpointReport,
)
from hemlockdock_core.rows import ArrivingModel, PoolRow
from hemlockdock_core.settings.sections import FleetSection
from hemlockdock_core.wire import ListedEndpoint


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

    def report_busy_after_restart(self, now_s):
        """Report an engine that is busy, by an agent that has just started."""
        found = report(disk=("b",), busy=True)
        body = EndpointReport(POOL, listed().address, found, 0, False, 0)
        self.registry.record_report(AgentReport("tcp://a", 2, body, now_s))

    def test_a_load_is_not_forgotten_if_its_agent_and_its_leader_start_anew_together(self):
        recorded = self.recorded_rows()
        self.report_busy_after_restart(10.1)
        row = self.row(10.1, recorded)
        self.assertEqual([model.name for model in row.arriving], ["a"])
        views = EngineViews(PoolRow(POOL, "/", 1), {"e": row}, self.registry, {}, 10.1)
        self.assertEqual(views.available_by_id["e"].coming_from_store, "a")

    def test_a_new_leader_states_once_how_long_a_recorded_load_still_takes(self):
        recorded = self.recorded_rows()
        loads = ModelLoads(StateContext(0))
        load = ModelLoad(POOL, "e", "a", 1_000, 13_000)
        loads.restore([load])
        self.placement.observe_recorded(loads, 10.0, 11_000)
        for now_s in (10.1, 11.1):
            self.report_busy_after_restart(now_s)
            row = self.row(now_s, recorded)
            self.assertEqual(row.arriving, (ArrivingModel("a", 13_000, 2_900),))
            recorded = {"e": row}

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

    def leaving_rows(self, now_s, leaves_in_ms=None, was_listed=True):
        """Return the state of the row of an engine that is listed as leaving after 100 s."""
        self.registry = EndpointRegistry(FleetSection(leaving_use_ms=4_000))
        if was_listed:
            self.registry.set_directory([listed()], 100.0)
        self.registry.set_directory([listed(leaving=True)], 100.4)
        last = replace(report(("m",)), leaving=True, leaves_in_ms=leaves_in_ms)
        body = EndpointReport(POOL, listed().address, last, 0, False, 0)
        self.registry.record_report(AgentReport("tcp://a", 1, body, now_s))
        row = self.registry.rows(now_s, self.placement, self.limits)["e"]
        return row.leaving, row.retiring

    def test_last_copies_are_not_written_off_as_their_engine_is_listed_as_leaving(self):
        self.assertEqual(self.leaving_rows(100.5), (False, True))
        self.assertEqual(self.leaving_rows(102.9), (False, True))

    def test_an_engine_that_leaves_takes_no_requests_near_the_end_of_the_time_allowed(self):
        self.assertEqual(self.leaving_rows(103.0), (True, False))

    def test_an_engine_that_was_listed_at_an_unknown_time_takes_no_requests(self):
        self.assertEqual(self.leaving_rows(100.5, was_listed=False), (True, False))

    def test_an_engine_that_is_stopped_soon_takes_no_requests(self):
        self.assertEqual(self.leaving_rows(100.5, leaves_in_ms=1_900), (True, False))

    def test_only_changed_rows_are_recorded(self):
        self.registry.set_directory([listed(), listed("ff")])
        rows = self.registry.rows(0.0, self.placement, self.limits)
        recorded = {"e": rows["e"], "old": rows["e"]}
        present, gone = changed_rows(rows, recorded)
        self.assertEqual([row.endpoint_id for row in present], ["ff"])
        self.assertEqual(gone, ("old",))


if __name__ == "__main__":
    unittest.main()
