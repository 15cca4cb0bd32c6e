"""Test over several entries and control that prompts with a crashing part cost few engines."""

import logging
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.bench_overload import LONELY_CRASH_BOUND, endpoints_lost  # noqa: E402
from benchmarks.bench_quarantine import CONTROL_LOST_S, SENDS_BOUND, SOUND_BOUND  # noqa: E402
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

    def test_a_request_that_crashed_three_endpoints_is_not_sent_again_without_control(self):
        for entries in (5, 29):
            with self.subTest(entries=entries):
                result = CrashRounds(SEED, entries, False, repeats_one=True).play()
                self.assertEqual(result.sends_after_third, 0)
                self.assertGreaterEqual(result.sound_ratio, SOUND_BOUND)

    def test_a_part_that_crashed_five_endpoints_is_refused_while_control_is_lost(self):
        result = CrashRounds(SEED, entries=5, lost_s=CONTROL_LOST_S).play()
        self.assertLessEqual(result.sends_after_fifth, SENDS_BOUND)
        self.assertLessEqual(len(result.crash_times_s), MAX_CRASHES)
        self.assertGreaterEqual(result.sound_ratio, SOUND_BOUND)


class OwnInterfaceTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_a_request_that_crashed_three_endpoints_is_not_dispatched_again_without_control(self):
        lost, others_in_time = endpoints_lost(entries=5, in_touch=False)
        self.assertLessEqual(lost, LONELY_CRASH_BOUND)
        self.assertGreaterEqual(others_in_time, SOUND_BOUND)


if __name__ == "__main__":
    unittest.main()
