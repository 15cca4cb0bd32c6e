"""Test how responses that end early, or without a length or chunks, reach the client."""

import unittest

from support_gateway import NON_RESUMABLE_STREAM_PATH, GatewayHarness, endpoint

LOGGER = "hemlockdock_entry.gateway.proxy_exchange"
MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"


class EndingsTestCase(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("y", "lm", 4, models=("m",))
        )
        self.client = self.harness.client()


class LogTest(EndingsTestCase):
    def test_log_tells_the_framing_and_an_incomplete_event(self):
        with self.assertLogs(LOGGER) as logs:
            self.client.send_request(NON_RESUMABLE_STREAM_PATH, left_ms=12_000, extra=MODEL)
            server = self.harness.connect()
            server.begin_answer(framing=None)
            server.send_bytes(EVENT_1 + EVENT_2[:4])
            server.close(cleanly=True)
        record = logs.records[-1]
        self.assertEqual((record.framing, record.inside_event), ("connection_end", True))
