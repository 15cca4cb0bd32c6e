"""Test over control members and entries that connections which go silent are replaced in time."""

import logging
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.bench_links import (  # noqa: E402
    IN_FORCE_BOUND_S,
    LARGE_TABLE_BOUND_S,
    LARGE_TABLE_BYTES_PER_S,
    LARGE_TABLE_ROWS,
    SEED,
)
from benchmarks.link_network import Direction  # noqa: E402
from benchmarks.link_processes import MEMBERS  # noqa: E402
from benchmarks.link_rounds import LinkRounds, LinkScenario  # noqa: E402

TWICE_S = (6.0, 12.5)
# From one heartbeat to the second one after it, at a member that ran all the time.
SELECTION_S = 2.0


class SilentConnectionTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, seed=SEED, **more):
        return LinkRounds(seed, LinkScenario(**more)).play()

    def assert_in_force(self, result):
        self.assertEqual(result.missed, 0)
        self.assertLessEqual(result.slowest_s, IN_FORCE_BOUND_S)

    def test_changes_are_in_force_within_a_second_after_all_connections_went_silent(self):
        for leader in range(len(MEMBERS)):
            with self.subTest(leader=leader):
                self.assert_in_force(self.play(entries=5, leader=leader, silent_s=(6.0,)))

    def test_changes_are_in_force_within_a_second_after_the_second_silence(self):
        self.assert_in_force(self.play(entries=5, silent_s=TWICE_S))

    def test_changes_are_in_force_within_a_second_if_only_the_members_are_not_heard(self):
        result = self.play(entries=5, silent_s=TWICE_S, direction=Direction.TO_NODES)
        self.assert_in_force(result)

    def test_changes_are_in_force_within_a_second_if_only_the_nodes_are_not_heard(self):
        result = self.play(entries=5, silent_s=TWICE_S, direction=Direction.TO_MEMBERS)
        self.assert_in_force(result)

    def test_a_change_right_after_the_silence_is_in_force_within_a_second(self):
        for number in range(5):
            with self.subTest(number=number):
                silent_s = 6.0 + number / 10
                self.assert_in_force(self.play(entries=1, silent_s=(silent_s,), change_s=1.0))

    def test_a_member_that_is_only_slow_loses_nothing(self):
        result = self.play(entries=29, paused_s=1.0)
        self.assertEqual((result.missed, result.lost), (0, 0))
        self.assertLessEqual(result.slowest_s, SELECTION_S)

    def test_an_entry_that_is_only_slow_loses_nothing(self):
        result = self.play(entries=5, paused_s=3.0, pauses_entry=True)
        self.assertEqual((result.missed, result.lost), (0, 0))

    def test_a_table_that_takes_longer_than_answers_are_waited_for_arrives(self):
        rows, bytes_per_s = LARGE_TABLE_ROWS, LARGE_TABLE_BYTES_PER_S
        result = self.play(entries=5, rows=rows, bytes_per_s=bytes_per_s, change_s=0, play_s=12.0)
        self.assertEqual(result.missed, 0)
        self.assertLessEqual(result.slowest_s, LARGE_TABLE_BOUND_S)

    def test_no_connection_is_opened_while_nothing_is_wrong(self):
        result = self.play(entries=5, play_s=70.0)
        self.assertEqual(result.opened_after_event, 0)


if __name__ == "__main__":
    unittest.main()
