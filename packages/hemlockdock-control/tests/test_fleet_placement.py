"""Test which model exchanges placement chooses, and how it carries them out."""

import unittest

from support_fleet import (
    EPSILON_S,
    NOW_S,
    ChoiceCase,
    PlacementCase,
    demand,
    pool,
    report,
    spec,
    view,
)

from hemlockdock_control.fleet.engine_view import PendingChange
from hemlockdock_control.fleet.placement import RESEND_S, WITHHOLD_S
from hemlockdock_core.messages import (
    ChangeModels,
    DemandReport,
    EngineFacts,
)


class ChoiceTest(ChoiceCase):
    def test_a_rare_model_evicts_the_least_requested_one(self):
        self.warm_up(hot=9)
        self.report_demand(demand("warm", 1), now_s=NOW_S - 3.0)
        self.views["x"] = view("x", report(("hot", "warm"), disk=("rare", "hot", "warm")))
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [("x", "rare", ("warm",), "disk")])

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

    def test_a_model_that_was_just_loaded_is_not_evicted(self):
        self.views = {"x": view("x", report(("warm", "hot"), disk=("rare",)))}
        self.warm_up(hot=9)
        self.history.recent_loads.note("x", "warm", NOW_S - 0.1)
        self.add_waiting("rare", in_time=1, target_left_ms=2_000)
        self.assertEqual(self.choices(), [])


class PlacementTest(PlacementCase):
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

    def test_an_exchange_ends_when_the_agent_reports_its_end(self):
        self.begin_exchange()
        self.decide()
        number = self.decide(WITHHOLD_S + EPSILON_S)[0].number
        self.models = ("rare",)
        self.report(number)
        self.decide()
        self.assertEqual(self.placement.pending_by_id, {})
        self.assertEqual([model.name for model in self.rows()["e"].models], ["rare"])


if __name__ == "__main__":
    unittest.main()
