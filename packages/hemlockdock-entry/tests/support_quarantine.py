"""Requests that crash endpoints, on the harness of the gateway."""

import unittest

from support_gateway import AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, GatewayHarness, endpoint

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

    def send(self, body=BODY, path=IDEMPOTENT_PATH, extra=b"", left_ms=1_000):
        """Send a request under a new id, from a new client."""
        self._requests += 1
        client = self.harness.client()
        client.send_request(path, b"%d" % self._requests, left_ms, extra, body)
        return client

    def fingerprint_of(self, client):
        """Return the fingerprint of a client's request in progress."""
        return client.connection._exchange.content.fingerprint

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
