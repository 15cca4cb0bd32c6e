"""Test single rules of the replicated state."""

import unittest

from support import StateDriver, submission

from hemlockdock_core.commands import DecideLoad
from hemlockdock_core.errors import ErrorKind


class ManifestTest(unittest.TestCase):
    def test_a_resent_manifest_gets_the_first_answer_even_after_a_newer_one(self):
        driver = StateDriver()
        first = driver.apply(submission(1))
        driver.apply(submission(2))
        self.assertEqual(driver.apply(submission(1)), first)

    def test_an_equal_number_with_other_content_names_the_winner(self):
        driver = StateDriver()
        driver.apply(submission(1))
        loser = driver.apply(submission(1, models=("m2",)))
        self.assertEqual(loser.refusal.kind, ErrorKind.CONFLICT)
        self.assertIn(submission(1).digest, loser.refusal.message)


class ReplicaTest(unittest.TestCase):
    def test_memory_is_not_promised_twice(self):
        driver = StateDriver()
        driver.apply(submission(1, most_replicas=5))
        driver.add_agent("agent-1", memory_mb=100)
        kinds = []
        for _ in range(3):
            result = driver.apply(DecideLoad("m1", "v1", "agent-1", 1, 1, "test"))
            kinds.append(result.refusal.kind if result.refusal else None)
        self.assertEqual(kinds, [None, None, ErrorKind.NO_CAPACITY])


if __name__ == "__main__":
    unittest.main()
