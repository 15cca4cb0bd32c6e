"""Test that an endpoint which says in a response that it leaves gets no further requests."""

import unittest

from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    STREAM_PATH,
    GatewayHarness,
    endpoint,
)

from hemlockdock_core.messages import AdapterHeld

LEAVING = b"X-Endpoint-Leaving: 1\r\n"
MODEL = b"X-Use-Model: m\r\n"
ADAPTER = b"X-Use-Model: m/a1\r\n"
EVENT = b"id: 1\ndata: x\n\n"


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self._requests = 0

    def send(self, path=IDEMPOTENT_PATH, extra=b""):
        self._requests += 1
        client = self.harness.client()
        client.send_request(path, b"%d" % self._requests, extra=extra)
        return client

    def connect_to(self, port):
        """Complete the connection attempt to an endpoint."""
        pending = self.harness.reactor.connecting
        position = [item.port for item in pending].index(port)
        pending.insert(0, pending.pop(position))
        return self.harness.connect()

    @property
    def waiting_ports(self):
        return [connector.port for connector in self.harness.reactor.connecting]

    def announce(self, status=200, extra=LEAVING, signed=True):
        """Let the cheaper of two endpoints announce that it leaves; return the other one's port."""
        self.send()
        server = self.harness.connect()
        server.answer(request_id=b"1", status=status, extra=extra, signed=signed)
        self.harness.reactor.connecting.clear()
        self.harness.gateway.health.for_endpoint("ab"[server.port - 1]).latency_s = 0.001
        return 3 - server.port

    def test_a_success_announces_that_its_endpoint_leaves(self):
        other = self.announce()
        for _ in range(3):
            self.send(AT_MOST_ONCE_PATH)
        self.assertEqual(self.waiting_ports, [other] * 3)

    def test_a_failure_and_a_rejection_announce_it_too(self):
        for status, extra in ((500, LEAVING), (503, LEAVING + b"X-Not-Run: 1\r\n"), (421, LEAVING)):
            with self.subTest(status=status):
                self.setUp()
                other = self.announce(status, extra, signed=False)
                self.send(AT_MOST_ONCE_PATH)
                self.assertEqual(self.waiting_ports, [other])

    def test_the_request_that_learns_it_is_repeated_elsewhere(self):
        self.send(AT_MOST_ONCE_PATH)
        server = self.harness.connect()
        server.answer(b"", 421, extra=LEAVING, signed=False)
        self.assertEqual(self.waiting_ports, [3 - server.port])

    def test_a_table_that_does_not_know_it_yet_changes_nothing(self):
        other = self.announce()
        self.harness.put_rows(endpoint("a", port=1), endpoint("b", port=2))
        self.send(AT_MOST_ONCE_PATH)
        self.assertEqual(self.waiting_ports, [other])

    def test_without_another_endpoint_requests_are_refused_at_once(self):
        self.harness.delete_row("endpoint/b")
        self.announce()
        client = self.send(AT_MOST_ONCE_PATH)
        self.assertEqual((self.waiting_ports, client.status), ([], 503))

    def test_an_endpoint_that_starts_again_under_its_id_is_used(self):
        self.harness.delete_row("endpoint/b")
        self.announce()
        self.harness.put_rows(endpoint("a", port=1, leaving=True))
        self.harness.put_rows(endpoint("a", port=1))
        self.send(AT_MOST_ONCE_PATH)
        self.assertEqual(self.harness.gateway.in_progress, 1)

    def test_a_stream_in_progress_is_answered_to_its_end(self):
        self.harness.put_rows(endpoint("m", "lm", 10, models=("m",)))
        client = self.send(STREAM_PATH, MODEL)
        server = self.harness.connect()
        server.begin_answer(b"Transfer-Encoding: chunked\r\n" + LEAVING.strip())
        server.chunk(EVENT)
        server.send_bytes(b"0\r\n\r\n")
        self.assertEqual(client.response(), (200, EVENT, True))
        self.send(STREAM_PATH, MODEL)
        self.harness.reactor.advance(0.2)
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.waiting_ports, [])

    def test_a_request_that_waited_for_an_adapter_goes_elsewhere(self):
        self.harness.put_rows(endpoint("m", "lm", 10, models=("m",), agent="tcp://agent"))
        self.send(STREAM_PATH, MODEL)
        server = self.harness.connect()
        self.send(STREAM_PATH, ADAPTER)
        server.answer(EVENT, request_id=b"1", extra=LEAVING)
        self.harness.gateway.model_queue.on_adapter_held(AdapterHeld("m", "m", "a1", 1_000))
        self.assertEqual(self.waiting_ports, [])
        self.assertNotEqual(server.header(b"x-request-id"), b"2")

    def put_engines(self, **states):
        rows = [
            endpoint(name, "lm", 10 + len(name), models=("m",), **state)
            for name, state in states.items()
        ]
        self.harness.put_rows(*rows)

    def test_requests_for_a_last_copy_are_sent_to_the_endpoint_that_leaves_with_it(self):
        self.put_engines(x={"retiring": True})
        self.send(STREAM_PATH, MODEL)
        self.assertEqual(self.waiting_ports, [11])

    def test_an_endpoint_that_leaves_gets_nothing_that_a_staying_one_can_take(self):
        self.put_engines(x={"retiring": True}, yy={})
        for _ in range(3):
            self.send(STREAM_PATH, MODEL)
        self.assertEqual(set(self.waiting_ports), {12})

    def test_an_endpoint_that_leaves_gets_no_requests_late_though_the_leader_is_silent(self):
        self.put_engines(x={"retiring": True})
        self.harness.reactor.advance(3.1)
        self.send(STREAM_PATH, MODEL)
        self.assertEqual(self.waiting_ports, [])

    def test_its_own_announcement_does_not_close_an_endpoint_that_is_known_to_leave(self):
        self.put_engines(x={"retiring": True})
        self.send(STREAM_PATH, MODEL)
        server = self.harness.connect()
        server.answer(EVENT, request_id=b"1", extra=LEAVING)
        self.send(STREAM_PATH, MODEL)
        self.assertEqual(self.harness.gateway.in_progress, 1)


if __name__ == "__main__":
    unittest.main()
