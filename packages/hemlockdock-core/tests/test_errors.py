"""Test that each error kind has one answer."""

import unittest

from hemlockdock_core.errors import ANSWER_BY_KIND, ErrorKind, NotRun, Refusal


class AnswerTableTest(unittest.TestCase):
    def test_every_kind_is_in_the_table(self):
        self.assertEqual(set(ANSWER_BY_KIND), set(ErrorKind))

    def test_a_refusal_takes_what_it_lacks_from_the_table(self):
        refusal = Refusal.of(ErrorKind.QUEUE_FULL, "queue of model-1 is full")
        self.assertEqual(refusal.not_run, NotRun.TRUE)
        self.assertEqual(refusal.status, 503)


if __name__ == "__main__":
    unittest.main()
