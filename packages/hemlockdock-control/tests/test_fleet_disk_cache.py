"""Test the estimate of last copies that a load from the store drops from a disk."""

import unittest
from collections import Counter

from hemlockdock_control.fleet.disk_cache import DiskUse
from hemlockdock_core.rows import ModelSpec

SPECS = {name: ModelSpec(name, 30.0, 0, 0.0, 6_000, 390, 510) for name in "abcdef"}


class DiskUseTest(unittest.TestCase):
    def dropped(self, on_disk, arriving_mb=30.0, holders=None, capacity_mb=100.0):
        use = DiskUse.of(on_disk, SPECS, Counter(holders or dict.fromkeys(SPECS, 1)))
        return use.sole_copies_dropped(capacity_mb, arriving_mb)

    def test_a_disk_with_room_drops_nothing(self):
        self.assertEqual(self.dropped(""), 0.0)
        self.assertEqual(self.dropped("ab"), 0.0)

    def test_a_disk_of_unknown_size_is_taken_to_have_room(self):
        self.assertEqual(self.dropped("abc", capacity_mb=0.0), 0.0)

    def test_whole_copies_are_dropped(self):
        self.assertEqual(self.dropped("abc"), 1.0)
        self.assertEqual(self.dropped("abc", arriving_mb=41.0), 2.0)
        self.assertEqual(self.dropped("abc", arriving_mb=500.0), 3.0)

    def test_only_last_copies_count_and_each_is_as_likely_to_be_dropped(self):
        self.assertEqual(self.dropped("abc", holders={"a": 1, "b": 2, "c": 2}), 1 / 3)
        self.assertEqual(self.dropped("abc", holders={"a": 2, "b": 2, "c": 2}), 0.0)

    def test_models_that_the_manifest_no_longer_lists_are_left_out(self):
        self.assertEqual(self.dropped("abz"), 0.0)


if __name__ == "__main__":
    unittest.main()
