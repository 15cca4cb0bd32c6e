"""Test that a stream goes on only at the software version that began it."""

import unittest

from support_gateway import STREAM_PATH, GatewayHarness, endpoint

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"
EVENT_3 = b"id: 3\ndata: z\n\n"
LAST_CHUNK = b"0\r\n\r\n"
PORT_BY_ID = {"x": 3, "y": 4, "z": 5}


def continued(request_id, last_event_id=b"1"):
    """Return the headers of a request that takes up the stream of another one."""
    return b"%bX-Continued-Request: %b\r\nLast-Event-Id: %b\r\n" % (
        MODEL,
        request_id,
        last_event_id,
    )


class SoftwareVersionTestCase(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.client = self.harness.client()

    def put_endpoints(self, **version_by_id):
        for endpoint_id, version in version_by_id.items():
            port = PORT_BY_ID[endpoint_id]
            row = endpoint(endpoint_id, "lm", port, models=("m",), software_version=version)
            self.harness.put_rows(row)

    def begin_stream(self, request_id=b"1", client=None):
        """Begin a stream, and return the endpoint that has sent its first event."""
        client = client or self.client
        client.send_request(STREAM_PATH, request_id, left_ms=12_000, extra=MODEL)
        server = self.harness.connect()
        server.begin_stream(request_id)
        server.chunk(EVENT_1)
        return server

    def take_up(self, request_id, continued_id, harness=None):
        """Send a request that takes a stream up, from a new client; return the client."""
        client = (harness or self.harness).client()
        client.send_request(STREAM_PATH, request_id, left_ms=8_000, extra=continued(continued_id))
        return client


class OneAnswerTest(SoftwareVersionTestCase):
    @unittest.expectedFailure
    def test_a_stream_does_not_go_on_at_another_version_within_one_answer(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1")
        server.close()
        self.assertEqual(len(self.harness.reactor.connecting), 0)
        self.assertTrue(self.client.transport.aborted)

    @unittest.expectedFailure
    def test_a_stream_goes_on_at_its_version_within_one_answer(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        server.close()
        self.assertEqual(self.harness.connect().port, PORT_BY_ID["z"])


class TakeUpTest(SoftwareVersionTestCase):
    @unittest.expectedFailure
    def test_a_stream_that_a_client_takes_up_does_not_go_on_at_another_version(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1")
        self.delete_endpoint("x")
        self.client.disconnect_client()
        client = self.take_up(b"2", b"1")
        self.assertEqual(len(self.harness.reactor.connecting), 0)
        self.assertEqual(client.status, 503)

    def delete_endpoint(self, endpoint_id):
        self.harness.delete_row(f"endpoint/{endpoint_id}")
