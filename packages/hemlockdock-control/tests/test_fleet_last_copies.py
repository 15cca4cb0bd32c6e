"""Test what placement does about models whose last copies leave with their hosts."""

import unittest

from support_fleet import NOW_S, ChoiceCase, demand, report, spec, view

from hemlockdock_control.fleet.last_copies import last_copies_leaving

LOAD_MS = 13_200


def leaving_view(endpoint_id, engine_report):
    found = view(endpoint_id, engine_report)
    found.is_leaving = True
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


if __name__ == "__main__":
    unittest.main()
