"""Test that requests which crash the endpoints that run them are not sent again and again."""

import unittest

from support_gateway import AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, GatewayHarness, endpoint

from hemlockdock_core.rows import QuarantineRow

LOGGER = "hemlockdock_entry.gateway.exchange_log"
# Time within which an entry asks an endpoint that closed a connection whether it still listens.
CRASH_DETECTION_S = 0.1
FAR_FUTURE_MS = 9_000_000_000_000
BODY = b"the content that crashes endpoints"


class QuarantineTestCase(unittest.TestCase):
    """One entry and three endpoints of a pool without models."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.harness.put_rows(endpoint("c", port=3))
        self._requests = 0

    def answer(self, request_id):
        """Answer the oldest request that waits for a connection, and close the connection."""
        server = self.harness.connect()
        server.answer(request_id=request_id, extra=b"Connection: close\r\n")
        server.close(cleanly=True)

    def send(self, body=BODY, path=IDEMPOTENT_PATH, extra=b""):
        """Send a request under a new id, from a new client."""
        self._requests += 1
        client = self.harness.client()
        client.send_request(path, b"%d" % self._requests, extra=extra, body=body)
        return client

    def fingerprint_of(self, client):
        """Return the fingerprint of a client's request in progress."""
        return client.connection._exchange.fingerprint

    @property
    def waiting_ports(self):
        """Return the ports of the connection attempts that wait for their endpoint."""
        return [connector.port for connector in self.harness.reactor.connecting]

    def crash(self, server):
        """Close a connection as its endpoint crashes, and refuse connections from then on."""
        server.close(cleanly=True)
        self.harness.reactor.advance(CRASH_DETECTION_S)
        for port in list(self.waiting_ports):
            if port == server.port:
                self.harness.fail_connect(port)

    def crash_once(self, body=BODY, path=AT_MOST_ONCE_PATH):
        """Let a request crash one endpoint under a new id; return its client."""
        client = self.send(body, path)
        self.crash(self.harness.connect())
        return client


class RepeatedRequestTest(QuarantineTestCase):
    @unittest.expectedFailure
    def test_a_request_that_crashed_three_endpoints_is_refused_at_once(self):
        for _ in range(3):
            self.crash_once()
            self.harness.reactor.advance(5.0)
        client = self.send(path=AT_MOST_ONCE_PATH)
        self.assertEqual(self.waiting_ports, [])
        self.assertEqual(client.status, 503)
        self.assertIn(b"Retry-After: ", client.received)

    @unittest.expectedFailure
    def test_a_request_that_crashed_endpoints_of_other_entries_is_refused_at_once(self):
        client = self.send()
        fingerprint = self.fingerprint_of(client)
        self.answer(b"1")
        self.harness.put_rows(QuarantineRow(fingerprint, 3, True, FAR_FUTURE_MS))
        client = self.send()
        self.assertEqual(self.waiting_ports, [])
        self.assertEqual(client.status, 503)

    @unittest.expectedFailure
    def test_an_attempt_is_not_repeated_at_a_further_endpoint_after_the_third_crash(self):
        self.crash_once()
        self.crash_once()
        client = self.send()
        self.crash(self.harness.connect())
        self.assertEqual(self.waiting_ports, [])
        self.assertEqual(client.status, 502)


class LogTest(QuarantineTestCase):
    def test_log_lines_of_requests_with_the_same_content_have_the_same_fingerprint(self):
        with self.assertLogs(LOGGER) as logs:
            self.send()
            self.harness.connect().close()
            self.answer(b"1")
            self.send()
            self.answer(b"2")
            self.send(b"another")
            self.answer(b"3")
        fingerprints = [record.fingerprint for record in logs.records]
        self.assertEqual(len(fingerprints), 4)
        self.assertEqual(len(set(fingerprints[:3])), 1)
        self.assertNotEqual(fingerprints[0], fingerprints[3])


if __name__ == "__main__":
    unittest.main()
