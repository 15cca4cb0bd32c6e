"""Test what lifts a suspicion: sound requests, endpoints in doubt that listen, and time."""

import unittest

from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    STREAM_PATH,
    FakeEndpoint,
    endpoint,
)
from support_quarantine import CRASH_DETECTION_S, FAR_FUTURE_MS, QuarantineTestCase

from hemlockdock_core.commands import ReleaseQuarantine
from hemlockdock_core.rows import QuarantineRow
from hemlockdock_entry.gateway.crash_reports import RELEASE_DELAY_S

LOGGER = "hemlockdock_entry.gateway.exchange_log"


class SoundRequestTest(QuarantineTestCase):
    def test_a_request_beside_a_crash_is_served_again_and_released(self):
        client = self.send(b"sound")
        fingerprint = self.fingerprint_of(client)
        self.crash(self.harness.connect())
        self.harness.put_rows(QuarantineRow(fingerprint, 1, False, FAR_FUTURE_MS))
        self.answer(b"1")
        self.assertEqual(client.status, 200)
        self.harness.reactor.advance(1.0)
        self.harness.gateway.run_maintenance()
        self.harness.reactor.advance(RELEASE_DELAY_S)
        released = self.harness.link.proposed[-1]
        self.assertEqual((type(released), released.fingerprint), (ReleaseQuarantine, fingerprint))

    def test_requests_that_are_answered_shortly_after_each_other_are_released_together(self):
        clients = [self.send(b"%d" % number) for number in range(3)]
        fingerprints = [self.fingerprint_of(client) for client in clients]
        for fingerprint in fingerprints:
            self.harness.put_rows(QuarantineRow(fingerprint, 1, False, FAR_FUTURE_MS))
        for number in range(3):
            self.answer(b"%d" % (number + 1))
        self.harness.reactor.advance(1.0)
        self.harness.gateway.run_maintenance()
        self.harness.reactor.advance(RELEASE_DELAY_S)
        (command,) = self.harness.link.proposed
        self.assertEqual([command.fingerprint, *command.others], sorted(fingerprints))

    def test_answers_between_crashes_keep_a_request_in_service(self):
        for _ in range(4):
            self.crash_once(b"unlucky")
            client = self.send(b"unlucky", AT_MOST_ONCE_PATH)
            self.answer(b"%d" % self._requests)
            self.harness.reactor.advance(1.0)
            self.harness.gateway.run_maintenance()
            self.assertEqual(client.status, 200)

    def test_other_content_on_the_same_path_is_served(self):
        for _ in range(3):
            self.crash_once()
        client = self.send(b"sound", AT_MOST_ONCE_PATH)
        self.answer(b"4")
        self.assertEqual(client.status, 200)


class EndpointInDoubtTest(QuarantineTestCase):
    """Requests whose endpoint has just closed a connection, and may have crashed."""

    def setUp(self):
        super().setUp()
        for name in ("b", "c"):
            self.harness.delete_row(f"endpoint/{name}")
        self.harness.put_rows(endpoint("m", "lm", 10, models=("m",)))

    def open_connections(self, path, body, extra):
        """Let two requests leave two open connections behind, and return the endpoints' ends."""
        self.send(b"x", path, extra)
        self.send(b"y", path, extra)
        servers = [self.harness.connect(), self.harness.connect()]
        for number, server in enumerate(servers, 1):
            server.answer(body, request_id=b"%d" % number)
        return servers

    def assert_repeated_at_the_endpoint_that_still_listens(self, path, body, extra=b""):
        first, second = self.open_connections(path, body, extra)
        client = self.send(b"z", path, extra)
        busy, idle = (first, second) if first.header(b"x-request-id") == b"3" else (second, first)
        busy.close()
        self.assertNotEqual(idle.header(b"x-request-id"), b"3")
        idle.close()
        self.harness.reactor.advance(CRASH_DETECTION_S)
        probe = FakeEndpoint(self.harness.reactor.connecting.pop())
        self.harness.reactor.advance(CRASH_DETECTION_S)
        probe.answer(body, request_id=b"3")
        self.assertEqual(client.status, 200)

    def test_a_plain_request_is_not_repeated_over_connections_that_are_about_to_close(self):
        self.assert_repeated_at_the_endpoint_that_still_listens(IDEMPOTENT_PATH, b"answer")

    def test_a_stream_is_not_repeated_over_connections_that_are_about_to_close(self):
        event = b"id: 1\ndata: x\n\n"
        model = b"X-Use-Model: m\r\n"
        self.assert_repeated_at_the_endpoint_that_still_listens(STREAM_PATH, event, model)


class EndOfQuarantineTest(QuarantineTestCase):
    def setUp(self):
        super().setUp()
        for _ in range(3):
            self.crash_once()
        self.fingerprint = self.harness.link.proposed[0].fingerprints[0]

    def assert_served(self):
        self.send(path=AT_MOST_ONCE_PATH)
        self.assertEqual(len(self.waiting_ports), 1)

    def test_an_operator_releases_a_request_at_entries_that_saw_its_crashes(self):
        self.harness.put_rows(QuarantineRow(self.fingerprint, 3, True, FAR_FUTURE_MS))
        self.harness.delete_row(f"quarantine/{self.fingerprint}")
        self.assert_served()

    def test_the_quarantine_ends_by_itself_after_the_time_that_clients_were_told(self):
        refused = self.send(path=AT_MOST_ONCE_PATH)
        retry_after = refused.received.partition(b"Retry-After: ")[2].partition(b"\r")[0]
        self.harness.reactor.advance(float(retry_after) + 0.1)
        self.assert_served()


if __name__ == "__main__":
    unittest.main()
