"""Test draining and stopping of a gateway service."""

import unittest

from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    NON_RESUMABLE_STREAM_PATH,
    SETTINGS,
    STREAM_PATH,
    GatewayHarness,
    endpoint,
)

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

    def take(self, path, after_s, left_ms):
        """Return the client of a request that comes some time after the stop signal."""
        self.stop()
        self.reactor.advance(after_s)
        client = self.harness.client()
        client.send_request(path, left_ms=left_ms, extra=b"X-Use-Model: m\r\n")
        return client

    def test_a_request_that_the_end_of_the_grace_would_cut_off_is_not_sent(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        for path in (STREAM_PATH, NON_RESUMABLE_STREAM_PATH, AT_MOST_ONCE_PATH, IDEMPOTENT_PATH):
            client = self.take(path, 2.7, 20_000)
            self.assertEqual(client.status, 503, path)
            self.setUp()
            self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))

    def test_a_request_that_ends_before_the_grace_by_its_own_limit_is_sent(self):
        client = self.take(AT_MOST_ONCE_PATH, 2.7, 4_000)
        self.harness.connect().answer()
        self.assertEqual(client.status, 200)

    def test_a_request_is_sent_while_the_runs_of_its_route_are_short_enough(self):
        first = self.harness.client()
        first.send_request(AT_MOST_ONCE_PATH, left_ms=20_000)
        server = self.harness.connect()
        self.reactor.advance(2.0)
        server.answer()
        client = self.take(AT_MOST_ONCE_PATH, 2.7, 20_000)
        self.harness.connect().answer()
        self.assertEqual((first.status, client.status), (200, 200))

    def test_a_request_is_not_sent_if_the_runs_of_its_route_are_longer_than_the_grace(self):
        first = self.harness.client()
        first.send_request(AT_MOST_ONCE_PATH, left_ms=20_000)
        server = self.harness.connect()
        self.reactor.advance(4.9)
        server.answer()
        client = self.take(AT_MOST_ONCE_PATH, 2.7, 20_000)
        self.assertEqual((first.status, client.status), (200, 503))

    def runs(self, path, *durations_s):
        """Record runs of the route of a path."""
        route = self.harness.gateway.routes.find(b"shop", path.encode())
        for took_s in durations_s:
            self.harness.gateway.stop_schedule.run_times.record(route.name, took_s)

    def test_a_single_long_run_does_not_send_away_what_can_be_repeated(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        for path, expected in ((STREAM_PATH, None), (NON_RESUMABLE_STREAM_PATH, 503)):
            self.runs(path, 6.0, *[1.0] * 39)
            client = self.take(path, 2.7, 20_000)
            self.assertEqual(client.status, expected, path)
            self.setUp()
            self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))

    def test_a_request_that_waits_for_its_model_is_not_sent_late_in_the_grace(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("m",)))
        client = self.take(STREAM_PATH, 0.0, 7_000)
        self.assertIsNone(client.status)
        self.setUp()
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("m",)))
        client = self.harness.client()
        client.send_request(STREAM_PATH, left_ms=12_000, extra=b"X-Use-Model: m\r\n")
        self.assertIsNone(client.status)
        self.stop()
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.assertEqual(client.status, 503)

    def test_a_failed_request_is_not_sent_again_late_in_the_grace(self):
        rows = [endpoint(name, "lm", port, models=("m",)) for name, port in (("x", 3), ("y", 4))]
        self.harness.put_rows(rows[0])
        first = self.harness.client()
        first.send_request(STREAM_PATH, left_ms=12_000, extra=b"X-Use-Model: m\r\n")
        server = self.harness.connect()
        server.begin_stream()
        server.chunk(b"id: 1\ndata: x\n\n")
        self.reactor.advance(4.5)
        server.send_bytes(b"0\r\n\r\n")
        self.assertIn(b"0\r\n\r\n", first.received)
        client = self.take(STREAM_PATH, 2.7, 12_000)
        self.harness.put_rows(*rows)
        self.reactor.advance(0.4)
        server.close()
        self.reactor.pump([0.1] * 5)
        ports = {connector.port for connector in self.harness.reactor.connecting}
        self.assertEqual((client.status, ports - {server.port}), (502, set()))

    def test_a_stream_that_has_begun_goes_on_at_another_endpoint_while_the_entry_stops(self):
        rows = [endpoint(name, "lm", port, models=("m",)) for name, port in (("x", 3), ("y", 4))]
        self.harness.put_rows(*rows)
        client = self.harness.client()
        client.send_request(STREAM_PATH, left_ms=12_000, extra=b"X-Use-Model: m\r\n")
        server = self.harness.connect()
        server.begin_stream()
        server.chunk(b"id: 1\ndata: x\n\n")
        self.stop()
        self.reactor.advance(LAST_REQUEST_S)
        server.close()
        self.reactor.pump([0.05] * 4)
        self.assertIsNotNone(self.harness.connect().header(b"last-event-id"))


if __name__ == "__main__":
    unittest.main()
