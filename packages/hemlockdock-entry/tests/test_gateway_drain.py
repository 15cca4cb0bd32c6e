"""Test draining and stopping of a gateway service."""

import unittest

from support_gateway import AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, SETTINGS, GatewayHarness

from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.gateway.service import GatewayService

# The platform counts requests that it sent to an entry until 3 s after the stop signal.
LAST_REQUEST_S = 3.0


class DrainTest(unittest.TestCase):
    """Drain a service whose sockets, link and timers are replaced by fakes."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.reactor = self.harness.reactor
        self.service = GatewayService(self.reactor, parse_settings(SETTINGS, "test"))
        self.service.gateway = self.harness.gateway
        self.service._link = self.harness.link
        self.harness.link.stop = lambda: None
        self.service._transport = self.harness.link
        self.harness.link.close = lambda: None
        self.service._maintenance = self.service._queue_check = self.harness.link
        self.stopped = []

    def stop(self):
        self.service.stop().addCallback(self.stopped.append)

    def test_not_ready_immediately_but_still_serves_requests(self):
        self.assertTrue(self.service.is_ready)
        self.stop()
        self.assertFalse(self.service.is_ready)
        client = self.harness.client()
        client.send_request(IDEMPOTENT_PATH)
        self.harness.connect().answer()
        self.assertEqual(client.status, 200)

    def test_refuses_requests_that_could_be_cut_off(self):
        self.stop()
        self.reactor.advance(LAST_REQUEST_S)
        client = self.harness.client()
        client.send_request(IDEMPOTENT_PATH)
        self.assertEqual(client.status, 503)

    def test_stops_after_the_last_response(self):
        client = self.harness.client()
        client.send_request(AT_MOST_ONCE_PATH, left_ms=5_000)
        server = self.harness.connect()
        self.stop()
        self.reactor.advance(LAST_REQUEST_S)
        self.assertEqual(self.stopped, [])
        server.answer()
        self.reactor.pump([0.05] * 6)
        self.assertEqual((client.status, self.stopped), (200, [None]))

    def test_running_requests_are_answered_before_the_process_is_killed(self):
        client = self.harness.client()
        client.send_request(IDEMPOTENT_PATH, left_ms=60_000)
        self.harness.connect()
        self.stop()
        self.reactor.pump([0.1] * 79)
        self.assertIsNotNone(client.status)
        self.assertEqual(self.stopped, [None])


if __name__ == "__main__":
    unittest.main()
