"""Test which failures CI passes over."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from run_tests import failed_tests, passed_over_tests  # noqa: E402

RED = """Checks that fail for a real fault.

test_a.ATest.test_traced
  ci: passes over this test
  seen: it fails

test_b.BTest.test_seen_once
  seen: it failed once; ci: passes over this test
"""
OUTPUT = """
======================================================================
FAIL: test_traced (test_a.ATest.test_traced) (status=1)
----------------------------------------------------------------------
Traceback
======================================================================
ERROR: test_other (test_c.CTest.test_other)
----------------------------------------------------------------------
Ran 9 tests in 1.0s

FAILED (failures=1, errors=1)
"""


class RunTestsTest(unittest.TestCase):
    def test_only_entries_that_say_so_are_passed_over(self):
        self.assertEqual(passed_over_tests(RED), {"test_a.ATest.test_traced"})
        self.assertEqual(passed_over_tests(""), set())

    def test_the_failed_tests_are_those_that_unittest_names(self):
        expected = {"test_a.ATest.test_traced", "test_c.CTest.test_other"}
        self.assertEqual(failed_tests(OUTPUT), expected)

    def test_a_run_that_ends_without_a_summary_is_never_passed_over(self):
        # Guards against a crash behind a test that may fail.
        self.assertIsNone(failed_tests(OUTPUT.replace("Ran 9", "X")))
        self.assertIsNone(failed_tests(OUTPUT.replace("errors=1", "errors=2")))
        self.assertIsNone(failed_tests("Segmentation fault"))


if __name__ == "__main__":
    unittest.main()
