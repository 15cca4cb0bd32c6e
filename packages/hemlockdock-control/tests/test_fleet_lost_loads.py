"""Test which loads the store goes on with after their engines were lost."""

import unittest
from types import SimpleNamespace

from hemlockdock_control.fleet.lost_loads import LostLoads
from hemlockdock_core.rows import ModelSpec

SPECS = {"m": ModelSpec("m", 30.0, 0, 0.0, 13_200, 390, 510)}


def view(loading="", on_host=(), ready_s=None):
    pending = None if ready_s is None else SimpleNamespace(ready_s=ready_s)
    report = SimpleNamespace(on_host=frozenset(on_host), models=())
    return SimpleNamespace(
        endpoint_id="x", coming_from_store=loading, pending=pending, report=report
    )


class LostLoadsTest(unittest.TestCase):
    def setUp(self):
        self.loads = LostLoads()

    def ends(self, now_s, *views):
        self.loads.observe(views, SPECS, now_s)
        return self.loads.planned_ends_s()

    def test_a_load_in_progress_is_not_lost(self):
        self.assertEqual(self.ends(0.0, view("m", ready_s=13.2)), [])

    def test_a_lost_load_lasts_until_its_planned_end(self):
        self.ends(0.0, view("m", ready_s=13.2))
        self.assertEqual(self.ends(5.0), [13.2])
        self.assertEqual(self.ends(5.1, view()), [13.2])
        self.assertEqual(self.ends(13.2), [])

    def test_a_load_that_has_delivered_its_model_is_not_lost(self):
        self.ends(0.0, view("m", ready_s=13.2))
        self.assertEqual(self.ends(12.9, view(on_host=("m",))), [])

    def test_a_load_of_an_earlier_leader_may_last_for_its_whole_time(self):
        self.ends(2.0, view("m"))
        self.assertEqual(self.ends(5.0), [15.2])

    def test_a_load_that_goes_on_after_all_is_not_lost(self):
        self.ends(0.0, view("m", ready_s=13.2))
        self.ends(5.0)
        self.assertEqual(self.ends(6.0, view("m", ready_s=13.2)), [])


if __name__ == "__main__":
    unittest.main()
