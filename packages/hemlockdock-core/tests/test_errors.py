"""Tests of error kinds and refusals."""

import unittest

from hemlockdock_core.errors import RESPONSE_BY_KIND, ErrorKind, NotRun, Refusal

PROMISES = (408, 421, 429, 503)


class ErrorResponseTest(unittest.TestCase):
    def test_every_kind_has_a_response(self):
        self.assertEqual(set(RESPONSE_BY_KIND), set(ErrorKind))

    def test_refusal_defaults_to_the_values_of_its_kind(self):
        refusal = Refusal.of(ErrorKind.QUEUE_FULL, "queue of model-1 is full")
        self.assertEqual(refusal.not_run, NotRun.TRUE)
        self.assertEqual(refusal.status, 503)

    def test_a_refusal_that_may_have_run_has_a_status_that_promises_the_opposite(self):
        # Guards against a 503 whose body says "not run: unknown".
        for kind in ErrorKind:
            for not_run in (None, *NotRun):
                with self.subTest(kind=kind, not_run=not_run):
                    refusal = Refusal.of(kind, "test", not_run)
                    if refusal.status in PROMISES:
                        self.assertIs(refusal.not_run, NotRun.TRUE)


if __name__ == "__main__":
    unittest.main()
