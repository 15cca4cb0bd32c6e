"""Test how an entry of a fleet stops."""

import unittest

from support_gateway import AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, SETTINGS, GatewayHarness

from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.gateway.service import GatewayService

# A platform counts what was sent to an entry until 3 s after it was told to stop.
LAST_TAKEN_S = 3.0


class DrainTest(unittest.TestCase):
    """Play a drain with everything but the sockets."""

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

    def test_it_is_not_ready_at_once_and_still_serves(self):
        self.assertTrue(self.service.is_ready)
        self.stop()
        self.assertFalse(self.service.is_ready)
        client = self.harness.client()
        client.send_request(IDEMPOTENT_PATH)
        self.harness.connect().answer()
        self.assertEqual(client.status, 200)

    def test_nothing_is_taken_that_could_be_cut_off(self):
        self.stop()
        self.reactor.advance(LAST_TAKEN_S)
        client = self.harness.client()
        client.send_request(IDEMPOTENT_PATH)
        self.assertEqual(client.status, 503)

    def test_it_ends_once_the_last_request_is_answered(self):
        client = self.harness.client()
        client.send_request(AT_MOST_ONCE_PATH, left_ms=5_000)
        server = self.harness.connect()
        self.stop()
        self.reactor.advance(LAST_TAKEN_S)
        self.assertEqual(self.stopped, [])
        server.answer()
        self.reactor.pump([0.05] * 6)
        self.assertEqual((client.status, self.stopped), (200, [None]))

    def test_what_still_runs_is_answered_before_the_process_is_killed(self):
        client = self.harness.client()
        client.send_request(IDEMPOTENT_PATH, left_ms=60_000)
        self.harness.connect()
        self.stop()
        self.reactor.pump([0.1] * 79)
        self.assertIsNotNone(client.status)
        self.assertEqual(self.stopped, [None])


if __name__ == "__main__":
    unittest.main()
