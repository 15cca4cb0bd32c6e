"""Test over several entries and control that prompts with a crashing part cost few engines."""

import logging
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.bench_quarantine import SENDS_BOUND, SOUND_BOUND  # noqa: E402
from benchmarks.crash_rounds import CrashRounds  # noqa: E402

SEED = 272
MAX_CRASHES = 5 + SENDS_BOUND


class CrashRoundsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_five_entries_find_the_part_together(self):
        result = CrashRounds(SEED, entries=5).play()
        self.assertLessEqual(len(result.crash_times_s), MAX_CRASHES)
        self.assertLessEqual(result.sends_after_fifth, SENDS_BOUND)
        self.assertGreaterEqual(result.sound_ratio, SOUND_BOUND)
        self.assertEqual(len(result.refused_s_by_entry), 5)

    def test_an_entry_without_control_finds_it_alone(self):
        result = CrashRounds(SEED, entries=1, in_touch=False).play()
        self.assertLessEqual(len(result.crash_times_s), MAX_CRASHES)
        self.assertGreaterEqual(result.sound_ratio, SOUND_BOUND)


if __name__ == "__main__":
    unittest.main()
