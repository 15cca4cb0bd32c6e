"""Test that a client gets a status that promises "not run" only for a request that has not run."""

import unittest
from itertools import product

from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    NON_RESUMABLE_STREAM_PATH,
    STREAM_PATH,
    GatewayTestCase,
    endpoint,
)

from hemlockdock_core.errors import RESPONSE_BY_KIND, ErrorKind, Refusal

MODEL = b"X-Use-Model: m\r\n"
NOT_RUN = b"X-Not-Run: 1\r\n"
PATHS = (AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, STREAM_PATH, NON_RESUMABLE_STREAM_PATH)
REPEATABLE_PATHS = (IDEMPOTENT_PATH, STREAM_PATH)
BARE_PROMISES = (408, 429, 503)
# A misdirected request was not run, also without the header that says so.
MISDIRECTED = 421
PLAIN_FAILURES = (400, 404, 409, 413, 500, 501, 502, 504, 599)
DETAIL = b"detail of the endpoint"
RETRY_AFTER = b"Retry-After: 7\r\n"


class PromiseTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("yy", "lm", 4, models=("m",))
        )

    def begin_case(self, path, status):
        """Start anew with another gateway; return the context of the subtest."""
        self.setUp()
        return self.subTest(path=path, status=status)

    def answer_all(self, client, status, extra=b""):
        """Let each endpoint that gets the request answer alike; return how many there were."""
        count = 0
        while client.status is None and self.reactor.connecting:
            self.harness.connect().answer(DETAIL, status, extra=extra)
            count += 1
        return count

    def assert_promises_nothing(self, client):
        self.assertEqual(client.status, 502)
        self.assertNotIn(b"X-Answer-Signature", client.received)
        self.assertNotIn(b"Retry-After", client.received)
        self.assertNotIn(DETAIL, client.received)

    def test_a_failure_after_a_run_is_passed_on_as_a_promise(self):
        # Guards against a bare 408, 429 or 503 of an endpoint, after which clients order once more.
        for path, status in product(PATHS, BARE_PROMISES):
            with self.begin_case(path, status):
                client = self.send(path, MODEL)
                count = self.answer_all(client, status, RETRY_AFTER)
                self.assertEqual(count, 2 if path in REPEATABLE_PATHS else 1)
                self.assert_promises_nothing(client)

    def test_a_failure_that_promises_nothing_is_passed_on_unchanged(self):
        for path, status in product(PATHS, PLAIN_FAILURES):
            with self.begin_case(path, status):
                client = self.send(path, MODEL)
                self.answer_all(client, status)
                self.assertEqual(client.response(), (status, DETAIL, True))
                self.assertIn(b"X-Answer-Signature: s", client.received)

    def test_a_request_that_no_endpoint_ran_is_refused_with_a_promise(self):
        for path, status in product(PATHS, (400, *BARE_PROMISES)):
            with self.begin_case(path, status):
                client = self.send(path, MODEL)
                self.answer_all(client, status, NOT_RUN)
                self.wait_for_refusal(client)
                self.assertEqual(client.status, 503)
                self.assertNotIn(b"X-Answer-Signature", client.received)

    def test_a_misdirected_request_has_not_run(self):
        client = self.send(AT_MOST_ONCE_PATH)
        self.answer_all(client, MISDIRECTED)
        self.assertEqual(client.status, 503)

    def test_a_rejection_after_a_run_makes_no_promise(self):
        for path, status in product(REPEATABLE_PATHS, (500, *BARE_PROMISES)):
            with self.begin_case(path, status):
                client = self.send(path, MODEL)
                self.harness.connect().answer(DETAIL, status)
                self.answer_all(client, 503, NOT_RUN)
                self.wait_for_refusal(client)
                self.assert_promises_nothing(client)

    def test_a_refusal_of_any_kind_after_a_run_makes_no_promise(self):
        for kind in ErrorKind:
            if RESPONSE_BY_KIND[kind].status not in (*BARE_PROMISES, MISDIRECTED):
                continue
            with self.begin_case(IDEMPOTENT_PATH, kind):
                client = self.send()
                self.harness.connect().close()
                (exchange,) = self.harness.gateway._exchanges
                exchange.refuse(Refusal.of(kind, "test"))
                self.assert_promises_nothing(client)

    def test_a_request_that_was_not_sent_is_refused_with_a_promise(self):
        for path in PATHS:
            with self.begin_case(path, None):
                client = self.send(path, MODEL)
                while client.status is None and self.reactor.connecting:
                    self.harness.fail_connect()
                self.wait_for_refusal(client)
                self.assertEqual(client.status, 503)

    def wait_for_refusal(self, client):
        """Let a request that waits for an endpoint reach its deadline; the endpoints stay full."""
        for _ in range(20):
            if client.status is not None:
                return
            self.reactor.advance(0.3)
            while self.reactor.connecting:
                self.harness.fail_connect()


if __name__ == "__main__":
    unittest.main()
