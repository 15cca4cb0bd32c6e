"""Test that a stream goes on only at the software version that began it."""

import unittest

from support_gateway import STREAM_PATH, GatewayHarness, endpoint

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"
LAST_CHUNK = b"0\r\n\r\n"
PORT_BY_ID = {"x": 3, "y": 4, "z": 5}


class SoftwareVersionTestCase(unittest.TestCase):
    def setUp(self):
        self.version_by_id = {}
        self.harness = self.open_entry()
        self.client = self.harness.client()

    def open_entry(self):
        harness = GatewayHarness()
        self.put_endpoints(harness, **self.version_by_id)
        return harness

    def put_endpoints(self, harness=None, **version_by_id):
        harness = harness or self.harness
        for endpoint_id, version in version_by_id.items():
            port = PORT_BY_ID[endpoint_id]
            row = endpoint(endpoint_id, "lm", port, models=("m",), software_version=version)
            harness.put_rows(row)
        self.version_by_id.update(version_by_id)

    def delete_endpoint(self, endpoint_id, harness=None):
        (harness or self.harness).delete_row(f"endpoint/{endpoint_id}")
        self.version_by_id.pop(endpoint_id, None)

    def begin_stream(self, request_id=b"1"):
        """Begin a stream, and return the endpoint that has sent its first event."""
        self.client.send_request(STREAM_PATH, request_id, left_ms=12_000, extra=MODEL)
        server = self.harness.connect()
        server.begin_stream(request_id)
        server.chunk(EVENT_1)
        return server

    def pending(self, harness=None):
        return [item.port for item in (harness or self.harness).reactor.connecting]


class OneAnswerTest(SoftwareVersionTestCase):
    def test_a_stream_does_not_go_on_at_another_version_within_one_answer(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1")
        self.delete_endpoint("x")
        server.close()
        self.assertEqual(self.pending(), [])
        self.assertTrue(self.client.transport.aborted)

    def test_a_stream_goes_on_at_its_version_within_one_answer(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        server.close()
        self.assertEqual(self.pending(), [PORT_BY_ID["z"]])

    def test_an_unknown_version_is_no_match_within_one_answer(self):
        self.put_endpoints(x="")
        server = self.begin_stream()
        self.put_endpoints(y="", z="v1")
        self.delete_endpoint("x")
        server.close()
        self.assertEqual(self.pending(), [])
        self.assertTrue(self.client.transport.aborted)

    def test_a_stream_without_an_event_may_begin_again_at_any_version(self):
        self.put_endpoints(x="v1")
        self.client.send_request(STREAM_PATH, left_ms=12_000, extra=MODEL)
        server = self.harness.connect()
        server.begin_stream()
        self.put_endpoints(y="v1.1")
        server.close()
        self.assertEqual(self.pending(), [PORT_BY_ID["y"]])

    def test_a_stream_waits_for_an_endpoint_of_its_version_that_is_full(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        self.delete_endpoint("x")
        health = self.harness.gateway.health.for_endpoint("z")
        health.in_flight = 4
        server.close()
        self.assertEqual(self.pending(), [])
        self.assertFalse(self.client.transport.aborted)
        health.in_flight = 0
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.pending(), [PORT_BY_ID["z"]])


class TakeUpTest(SoftwareVersionTestCase):
    @unittest.expectedFailure
    def test_a_stream_that_a_client_takes_up_does_not_go_on_at_another_version(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1")
        self.delete_endpoint("x")
        self.client.disconnect_client()
        client = self.harness.client()
        extra = MODEL + b"X-Continued-Request: 1\r\nLast-Event-Id: 1\r\n"
        client.send_request(STREAM_PATH, b"2", left_ms=8_000, extra=extra)
        self.assertEqual(self.pending(), [])
        self.assertEqual(client.status, 503)
