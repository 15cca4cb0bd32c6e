"""Test when an entry expects models, by the rows of endpoints."""

import unittest

from support_gateway import endpoint

from hemlockdock_core.rows import EngineSpec, ModelSpec, PoolRow
from hemlockdock_entry.gateway.model_availability import ModelAvailability

POOL = PoolRow(
    "lm",
    "/",
    1,
    EngineSpec(8, 1_000, 1, 80.0, 4, 0.0, 0.0, 1.0, (ModelSpec("m", 10.0, 4, 1.0, 13_200, 1, 1),)),
)


class ModelAvailabilityTest(unittest.TestCase):
    def setUp(self):
        self.availability = ModelAvailability()

    def ready_s(self, now_s, *arriving):
        self.availability.update([endpoint("x", "lm", arriving=[arriving])], now_s)
        return self.availability.ready_s(POOL, "m", now_s)

    def test_an_entry_that_starts_in_the_middle_of_a_load_knows_when_it_ends(self):
        self.assertEqual(self.ready_s(100.0, "m", 13_200, 2_000), 102.0)
        self.assertEqual(self.ready_s(101.0, "m", 13_200, 2_000), 102.0)

    def test_what_a_new_leader_states_replaces_what_the_entry_expected(self):
        self.assertEqual(self.ready_s(100.0, "m", 13_200), 113.2)
        self.assertEqual(self.ready_s(101.0, "m", 13_200, 2_000), 103.0)


if __name__ == "__main__":
    unittest.main()
