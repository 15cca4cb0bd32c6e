"""Test what placement does about models whose last copies leave with their hosts."""

import unittest

from support_fleet import NOW_S, ChoiceCase, demand, report, spec, view

from hemlockdock_control.fleet.last_copies import last_copies_leaving

LOAD_MS = 13_200


def leaving_view(endpoint_id, engine_report):
    found = view(endpoint_id, engine_report)
    found.is_leaving = True
    return found


def retiring_view(endpoint_id, engine_report, usable_s=3.0):
    found = leaving_view(endpoint_id, engine_report)
    found.usable_s = usable_s
    return found


class LastCopiesTest(unittest.TestCase):
    def test_a_copy_is_the_last_one_if_no_staying_host_has_another(self):
        views = [
            leaving_view("x", report(disk=("a", "b", "c", "d"))),
            leaving_view("y", report(disk=("a",))),
            view("z", report(("b",), disk=("c",))),
        ]
        self.assertEqual(last_copies_leaving(views), {"x": {"a", "d"}, "y": {"a"}})


class StoreReserveTest(ChoiceCase):
    def setUp(self):
        super().setUp()
        self.models = [spec(name, store_load_ms=LOAD_MS) for name in ("rare", "lost")]
        self.history.store.concurrency_limit = 1
        self.views = {"y": view("y", report())}
        self.history.last_copies = {"x": frozenset({"lost"})}

    def test_the_store_is_not_taken_for_one_caller_while_last_copies_leave(self):
        self.report_demand(demand("rare", 1, returning=1))
        self.assertEqual(self.choices(), [])
        self.assertEqual(self.choices(NOW_S + 6.0), [])

    def test_the_store_loads_what_leaves_once_many_ask_for_it(self):
        self.report_demand(demand("rare", 1, returning=1))
        self.choices()
        self.report_demand(demand("lost", 4, returning=4), now_s=NOW_S + 2.0)
        self.assertEqual(self.choices(NOW_S + 2.0), [("y", "lost", (), "store")])

    def test_the_store_is_not_taken_for_a_few_callers_either_while_last_copies_leave(self):
        self.report_demand(demand("rare", 4, returning=4))
        self.assertEqual(self.choices(), [])
        self.report_demand(demand("rare", 12, returning=12))
        self.assertEqual(self.choices()[0][1], "rare")

    def test_the_store_is_not_kept_free_while_many_are_refused_who_do_not_wait(self):
        for second in range(10):
            arrivals = 2 * (second + 1)
            self.report_demand(demand("rare", arrivals), now_s=NOW_S - 10.0 + second)
        self.assertEqual(self.choices(), [("y", "rare", (), "store")])

    def test_the_store_stays_free_for_half_a_load_at_most(self):
        self.report_demand(demand("rare", 1, returning=1))
        self.choices()
        self.assertEqual(self.choices(NOW_S + 6.7)[0][1], "rare")

    def test_the_store_is_taken_at_once_if_no_last_copy_leaves(self):
        self.history.last_copies = {}
        self.report_demand(demand("rare", 1, returning=1))
        self.assertEqual(self.choices()[0][1], "rare")

    def test_a_store_that_supports_more_loads_keeps_one_free_anyway(self):
        self.history.store.concurrency_limit = 4
        self.history.store.is_measured = True
        self.report_demand(demand("rare", 1, returning=1))
        self.assertEqual(self.choices()[0][1], "rare")


class RetiringEngineTest(ChoiceCase):
    def setUp(self):
        super().setUp()
        self.views = {
            "x": retiring_view("x", report(disk=("rare",))),
            "y": view("y", report(busy=True)),
        }
        self.history.last_copies = {"x": frozenset({"rare"})}
        self.add_waiting("rare")

    def test_a_last_copy_is_loaded_at_the_engine_that_leaves_with_it(self):
        self.assertEqual(self.choices(), [("x", "rare", (), "disk")])

    def test_an_engine_that_leaves_loads_nothing_that_a_staying_host_has(self):
        self.views["z"] = view("z", report(disk=("rare",), busy=True))
        self.assertEqual(self.choices(), [])

    def test_an_engine_that_leaves_loads_nothing_from_the_store(self):
        self.views["x"] = retiring_view("x", report(), usable_s=60.0)
        self.add_waiting("rare", waiting=9)
        self.assertEqual(self.choices(), [])

    def test_an_engine_that_takes_no_requests_soon_loads_nothing(self):
        self.views["x"] = retiring_view("x", report(disk=("rare",)), usable_s=0.9)
        self.assertEqual(self.choices(), [])

    def test_an_engine_that_leaves_unloads_what_others_run_for_a_last_copy(self):
        self.views["x"] = retiring_view("x", report(("hot", "warm"), disk=("rare",)))
        self.views["y"] = view("y", report(("hot", "warm"), busy=True))
        self.report_demand(demand("hot", 90, in_flight=9), demand("warm", 90, in_flight=9))
        ((endpoint_id, model, unload, source),) = self.choices()
        self.assertEqual((endpoint_id, model, source), ("x", "rare", "disk"))
        self.assertEqual(len(unload), 1)

    def test_the_store_loads_what_runs_only_where_it_leaves(self):
        self.views = {
            "x": retiring_view("x", report(("rare",), disk=("rare",))),
            "y": view("y", report()),
        }
        self.report_demand(demand("rare", 9, in_flight=9))
        self.assertEqual(self.choices(), [("y", "rare", (), "store")])


if __name__ == "__main__":
    unittest.main()
