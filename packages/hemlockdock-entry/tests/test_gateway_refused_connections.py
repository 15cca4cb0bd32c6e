"""Test requests whose endpoint refuses the connection, so that nothing was sent to it."""

import unittest

from support_gateway import (
    NON_RESUMABLE_STREAM_PATH,
    STREAM_PATH,
    GatewayTestCase,
    endpoint,
    route,
)
from twisted.internet.error import TimeoutError

from hemlockdock_core.rows import RouteKind
from hemlockdock_entry.gateway.crash_watch import PROBE_DELAY_S
from hemlockdock_entry.gateway.route_index import RouteIndex
from hemlockdock_entry.gateway.try_health import FULL_PAUSE_S
from hemlockdock_entry.gateway.unsent_tries import MAX_UNSENT_REPEATS

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"
# Longer than clients wait for a first event, see FleetSection.patience_ms.
LONG_S = 5.0


class RefusedConnectionTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.put_endpoints(3, 4)

    def put_endpoints(self, *ports):
        rows = [endpoint(f"lm{port}", "lm", port, models=("m",)) for port in ports]
        self.harness.put_rows(*rows)

    def spend_retry_budget(self):
        budget = self.harness.gateway.endpoints.retry_budget("lm")
        while budget.try_spend(self.reactor.seconds(), 1):
            pass

    def begin_stream(self, lasts_s=0.0, path=STREAM_PATH):
        """Begin a stream; return its client and its endpoint."""
        client = self.send(path, MODEL, left_ms=12_000)
        server = self.harness.connect()
        server.begin_answer(b"Transfer-Encoding: chunked")
        server.chunk(EVENT_1)
        while self.reactor.seconds() < lasts_s:
            self.reactor.advance(1.0)
            server.chunk(EVENT_1)
        return client, server

    def end_stream(self, server):
        self.assertEqual(server.header(b"last-event-id"), b"1")
        server.begin_answer(b"Transfer-Encoding: chunked")
        server.chunk(EVENT_2)
        server.send_bytes(b"0\r\n\r\n")


class NothingStartedTest(RefusedConnectionTestCase):
    def test_another_endpoint_gets_the_request_at_once_without_retry_budget(self):
        for path in (STREAM_PATH, NON_RESUMABLE_STREAM_PATH):
            with self.subTest(path=path):
                self.setUp()
                client = self.send(path, MODEL)
                refused = self.waiting_ports[0]
                self.spend_retry_budget()
                self.harness.fail_connect()
                self.assertEqual((client.status, self.waiting_ports), (None, [7 - refused]))

    def test_a_route_with_one_endpoint_still_reaches_it_after_a_refused_connection(self):
        # An endpoint that got nothing must not count towards the endpoints of the route.
        single = route("live", STREAM_PATH, RouteKind.STREAM, "lm", True, most_endpoints=1)
        self.harness.gateway.routes = RouteIndex([single])
        client = self.send(STREAM_PATH, MODEL)
        self.harness.fail_connect()
        self.harness.connect().answer(EVENT_1)
        self.assertEqual(client.status, 200)

    def test_endpoints_that_refuse_at_once_do_not_use_up_the_connection_attempts(self):
        # A failure domain that ends refuses more connections in a few ms than one endpoint may.
        self.put_endpoints(*range(5, 13))
        client = self.send(STREAM_PATH, MODEL)
        for _ in range(9):
            self.harness.fail_connect()
        self.harness.connect().answer(EVENT_1)
        self.assertEqual(client.status, 200)

    def test_an_endpoint_that_always_refuses_is_not_asked_for_ever(self):
        self.harness.delete_row("endpoint/lm4")
        client = self.send(STREAM_PATH, MODEL, left_ms=12_000)
        tries = 0
        while client.status is None and tries < 100:
            tries += 1
            self.harness.fail_connect()
            self.reactor.advance(FULL_PAUSE_S)
            self.harness.gateway.model_queue.check_waiting()
        self.assertEqual((client.status, tries), (503, MAX_UNSENT_REPEATS + 1))


class StartedStreamTest(RefusedConnectionTestCase):
    def test_a_stream_that_lasted_longer_than_the_patience_waits_for_an_endpoint(self):
        # Clients wait anew after each event; counting from the request ended the stream at once.
        for is_spent in (False, True):
            with self.subTest(is_spent=is_spent):
                self.setUp()
                client, server = self.begin_stream(LONG_S)
                server.close()
                if is_spent:
                    self.spend_retry_budget()
                self.harness.fail_connect()
                self.assertFalse(client.transport.aborted)
                self.reactor.advance(FULL_PAUSE_S)
                self.harness.gateway.model_queue.check_waiting()
                while self.waiting_ports and self.waiting_ports[0] == server.port:
                    self.harness.fail_connect()
                    self.harness.gateway.model_queue.check_waiting()
                self.end_stream(self.harness.connect())
                status, body, is_complete = client.response()
                self.assertEqual((status, is_complete), (200, True))
                self.assertTrue(body.endswith(EVENT_1 + EVENT_2))

    def test_a_stream_waits_no_longer_than_its_client(self):
        client, server = self.begin_stream(LONG_S)
        server.close()
        ended_s = self.reactor.seconds()
        while not client.transport.aborted and self.reactor.seconds() < ended_s + 10.0:
            while self.waiting_ports:
                self.harness.fail_connect()
            self.reactor.advance(0.05)
            self.harness.gateway.model_queue.check_waiting()
        waited_s = self.reactor.seconds() - ended_s
        self.assertTrue(1.5 < waited_s < 2.1, waited_s)

    def test_a_stream_whose_endpoint_ended_needs_the_retry_budget(self):
        # The first endpoint got the request, so that sending it again is a retry.
        client, server = self.begin_stream()
        self.spend_retry_budget()
        server.close()
        self.assertTrue(client.transport.aborted)

    def test_a_stream_that_may_not_be_repeated_is_not_continued(self):
        client, server = self.begin_stream(path=NON_RESUMABLE_STREAM_PATH)
        server.close()
        self.assertTrue(client.transport.aborted)

    def test_an_endpoint_that_got_the_request_before_counts_after_it_refused(self):
        # Otherwise the request could reach a third endpoint where its route allows two.
        single = route("live", STREAM_PATH, RouteKind.STREAM, "lm", True, 2, 12_000)
        self.harness.gateway.routes = RouteIndex([single])
        self.harness.delete_row("endpoint/lm4")
        client, server = self.begin_stream()
        server.close()
        self.reactor.advance(PROBE_DELAY_S)
        self.harness.fail_connect(error=TimeoutError())
        self.harness.fail_connect(server.port)
        self.put_endpoints(4, 5)
        self.harness.connect().close()
        self.assertTrue(client.transport.aborted)


if __name__ == "__main__":
    unittest.main()
