"""Test that requests which crash the endpoints that run them are not sent again and again."""

import unittest

from support_gateway import IDEMPOTENT_PATH, GatewayHarness, endpoint

LOGGER = "hemlockdock_entry.gateway.exchange_log"
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
