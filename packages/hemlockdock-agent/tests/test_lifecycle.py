"""Test that incarnation numbers increase and that an engine lock has one holder."""

import tempfile
import unittest
from pathlib import Path

from hemlockdock_agent.lifecycle import EngineLock, EngineLockedError, next_incarnation


class IncarnationTest(unittest.TestCase):
    def test_numbers_increase_if_the_clock_is_set_back(self):
        with tempfile.TemporaryDirectory() as folder:
            first = next_incarnation(folder, 1_000)
            second = next_incarnation(folder, 500)
            third = next_incarnation(folder, 2_000)
            self.assertLess(first, second)
            self.assertEqual(third, 2_000)
            self.assertEqual([path.name for path in Path(folder).iterdir()], ["incarnation"])

    def test_one_process_never_repeats_a_number(self):
        self.assertEqual(next_incarnation("", 1_000, floor=1_000), 1_001)


class EngineLockTest(unittest.TestCase):
    def test_a_lock_is_free_again_after_its_release(self):
        first = EngineLock("http://127.0.0.1:7/")
        second = EngineLock("http://127.0.0.1:7")
        first.acquire()
        self.addCleanup(first.release)
        self.assertRaises(EngineLockedError, second.acquire)
        first.release()
        second.acquire()
        second.release()


if __name__ == "__main__":
    unittest.main()
