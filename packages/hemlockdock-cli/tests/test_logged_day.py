"""Test what is found in the logs of a day about absent models."""

import unittest

from hemlockdock_cli.lab.logged_day import LoggedDay
from hemlockdock_cli.trace import LogLine

ROW = (
    "EndpointRow(models=(ResidentModel(name='{}', version=1),), agent_address='a', "
    "on_host=('{}',), software_version='v', retiring={})"
)


class LoggedDayTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.add_row(-5.0, "x", "lost", "lost")
        self.add_row(-5.0, "y", "kept", "kept")
        self.add_load(-3.0)

    def add(self, at_s, message, **fields):
        self.lines.append(LogLine(at_s, "core", {"message": message, **fields}))

    def add_row(self, at_s, endpoint, loaded, on_host, retiring=False):
        row = ROW.format(loaded, on_host, retiring)
        self.add(at_s, "endpoint changed", endpoint=endpoint, row=row)

    def add_load(self, at_s):
        self.add(at_s, "exchange decided", source="store", takes_s=13.0)

    def add_requests(self, model, times_s, outcome="deadline_unreachable", adapter=""):
        for at_s in times_s:
            fields = {"model": model, "adapter": adapter, "outcome": outcome, "left_s": 5.0}
            self.add(at_s, "request ended", **fields)

    def leave(self, listed_s, gone_s):
        self.add_row(listed_s, "x", "lost", "lost", retiring=True)
        self.add(gone_s, "endpoint gone", endpoint="x")

    def least(self):
        day = LoggedDay(self.lines)
        return day.never_served(), day.least_never_served(True), day.least_never_served(False)

    def test_names_of_models_that_only_the_store_has_are_bounded(self):
        for model in ("a", "b", "c"):
            self.add_requests(model, (0.0, 5.0, 10.0, 20.0))
        self.assertEqual(self.least(), (3, 1, 1))

    def test_what_leaves_with_its_host_is_absent_from_then_on(self):
        self.add_requests("lost", (20.0, 21.0, 25.0, 30.0), adapter="a1")
        self.leave(10.0, 17.0)
        self.assertEqual(self.least(), (2, 0, 0))

    def test_what_is_listed_as_leaving_late_can_be_loaded_late_only(self):
        self.add_requests("lost", (20.0, 21.0, 25.0, 30.0))
        self.leave(24.0, 31.0)
        self.assertEqual(self.least(), (1, 0, 1))

    def test_what_was_answered_before_its_host_left_is_served(self):
        self.add_requests("lost", (1.0, 2.0), "answered")
        self.add_requests("lost", (20.0, 30.0))
        self.leave(10.0, 17.0)
        self.assertEqual(self.least(), (0, 0, 0))

    def test_a_host_whose_engine_starts_again_has_not_left(self):
        self.add_requests("lost", (20.0, 21.0, 25.0, 30.0))
        self.add(12.0, "endpoint gone", endpoint="x")
        self.add_row(13.0, "z", "", "lost")
        self.assertEqual(self.least(), (1, 0, 0))


if __name__ == "__main__":
    unittest.main()
