"""Test which loads the replicated state lists."""

import unittest

import msgspec
from support import lines_run
from support import settings as control_settings

from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.rows import ArrivingModel, EndpointRow, ResidentModel

START_MS = 1_000_000
TAKES_MS = 13_250


def row(loading="", models=(), on_host=(), endpoint_id="e"):
    arriving = (ArrivingModel(loading, TAKES_MS),) if loading else ()
    resident = tuple(ResidentModel(name, 1) for name in models)
    return EndpointRow(
        endpoint_id, "p", "1:1", "d", 8, False, resident, arriving=arriving, on_host=on_host
    )


class ModelLoadsTest(unittest.TestCase):
    def setUp(self):
        self.index = 0
        self.now_ms = START_MS
        self.machine = ClusterStateMachine(control_settings())
        self.record(row())

    def record(self, *rows, gone=(), after_ms=0):
        self.index += 1
        self.now_ms += after_ms
        command = RecordEndpoints(rows, gone, self.now_ms)
        self.machine.apply(self.index, encode_command(command))

    def begun_ms(self):
        """Return the begins of the loads that are listed."""
        loads = self.machine.state.endpoints.loads.load_by_key.values()
        return {load.key: load.begun_ms - START_MS for load in loads}

    def test_a_load_is_listed_from_its_decision_until_it_delivers(self):
        self.record(row("m"), after_ms=100)
        self.record(row("m", models=("other",)), after_ms=5_000)
        self.assertEqual(self.begun_ms(), {("e", "m"): 100})
        self.record(row(models=("m",)), after_ms=8_000)
        self.assertEqual(self.begun_ms(), {})

    def test_each_row_of_a_change_walks_the_loads_of_all_endpoints(self):
        # Guards against a cost that is the product of a change's rows and the loads in progress.
        lines = {}
        for size in (100, 200):
            rows = [row(f"m{number}", endpoint_id=f"e{number}") for number in range(size)]
            self.record(*rows)
            command = encode_command(RecordEndpoints(rows, (), self.now_ms))
            lines[size] = lines_run(lambda data=command: self.machine.apply(self.index + 1, data))
        self.assertLess(lines[200], 3 * lines[100])

    def test_a_load_whose_time_left_is_stated_anew_has_not_begun_anew(self):
        self.record(row("m"), after_ms=100)
        stated = ArrivingModel("m", TAKES_MS, 5_000)
        self.record(msgspec.structs.replace(row(), arriving=(stated,)), after_ms=8_000)
        self.assertEqual(self.begun_ms(), {("e", "m"): 100})

    def test_weights_that_have_arrived_on_the_host_end_a_load(self):
        self.record(row("m"))
        self.record(row(on_host=("m",)), after_ms=5_000)
        self.assertEqual(self.begun_ms(), {})

    def test_a_lost_load_is_listed_until_its_planned_end(self):
        for rows, gone in (((row(),), ()), ((), ("e",))):
            with self.subTest(gone=gone):
                self.setUp()
                self.record(row("m"))
                self.record(*rows, gone=gone, after_ms=4_000)
                self.assertEqual(self.begun_ms(), {("e", "m"): 0})
                self.record(row(endpoint_id="f"), after_ms=TAKES_MS - 4_001)
                self.assertEqual(self.begun_ms(), {("e", "m"): 0})
                self.record(row("other", endpoint_id="f"), after_ms=1)
                self.assertEqual(list(self.begun_ms()), [("f", "other")])

    def test_an_overdue_load_is_not_taken_for_a_new_one(self):
        self.record(row("m"))
        self.record(row("m", models=("other",)), after_ms=TAKES_MS + 1)
        self.assertEqual(self.begun_ms(), {})

    def test_loads_outlive_a_restart_from_a_snapshot(self):
        self.record(row("m"))
        self.record(gone=("e",), after_ms=4_000)
        snapshot = self.machine.snapshot()
        self.machine = ClusterStateMachine(control_settings())
        self.machine.restore(self.index, snapshot)
        self.assertEqual(self.begun_ms(), {("e", "m"): 0})

    def test_what_the_store_carries_stays_known_over_a_restart_from_a_snapshot(self):
        for store_loads in (4, 0):
            command = RecordEndpoints((), (), self.now_ms, store_loads)
            self.index += 1
            self.machine.apply(self.index, encode_command(command))
        snapshot = self.machine.snapshot()
        self.machine = ClusterStateMachine(control_settings())
        self.machine.restore(self.index, snapshot)
        self.assertEqual(self.machine.state.endpoints.loads.store_loads, 4)


if __name__ == "__main__":
    unittest.main()
