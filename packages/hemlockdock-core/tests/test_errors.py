"""Tests of error kinds and refusals."""

import unittest

from hemlockdock_core.errors import RESPONSE_BY_KIND, ErrorKind, NotRun, Refusal


class ErrorResponseTest(unittest.TestCase):
    def test_every_kind_has_a_response(self):
        self.assertEqual(set(RESPONSE_BY_KIND), set(ErrorKind))

    def test_refusal_defaults_to_the_values_of_its_kind(self):
        refusal = Refusal.of(ErrorKind.QUEUE_FULL, "queue of model-1 is full")
        self.assertEqual(refusal.not_run, NotRun.TRUE)
        self.assertEqual(refusal.status, 503)


if __name__ == "__main__":
    unittest.main()
