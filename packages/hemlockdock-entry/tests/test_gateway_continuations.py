"""Test what reaches the client of a stream that broke off, from the endpoint tried next."""

import unittest

from support_gateway import STREAM_PATH, GatewayTestCase, endpoint
from support_software_versions import SoftwareVersionTestCase

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
PARTIAL = b"id: 2\ndat"
ERROR_TEXT = b"data: out of memory\n\n"
FRAMINGS = (b"Content-Length: 0", b"Transfer-Encoding: chunked")


class ContinuationTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("yy", "lm", 4, models=("m",))
        )

    def break_off(self, sent=EVENT_1 + PARTIAL):
        """Break a stream off inside its second event; return the client and the next endpoint."""
        self.setUp()
        client = self.send(STREAM_PATH, MODEL)
        server = self.harness.connect()
        server.begin_answer(b"Transfer-Encoding: chunked")
        server.chunk(sent)
        server.close()
        return client, self.harness.connect()

    def assert_cut_after_the_first_event(self, client):
        status, body, is_complete = client.response()
        self.assertEqual((status, is_complete), (200, False))
        self.assertIn(EVENT_1, body)
        self.assertNotIn(PARTIAL, client.received)
        self.assertEqual(client.received.count(b"HTTP/1.1"), 1)

    def test_an_empty_continuation_does_not_end_a_stream_as_complete(self):
        for framing in FRAMINGS:
            client, other = self.break_off()
            self.assertEqual(other.header(b"last-event-id"), b"1")
            other.begin_answer(framing)
            if framing == FRAMINGS[1]:
                other.send_bytes(b"0\r\n\r\n")
            self.assert_cut_after_the_first_event(client)

    def test_an_error_of_the_next_endpoint_never_gets_into_a_stream(self):
        for status in (404, 429, 500, 502, 503):
            for extra in (b"", b"Content-Type: text/event-stream\r\n", b"X-Not-Run: 1\r\n"):
                with self.subTest(status=status, extra=extra):
                    client, other = self.break_off()
                    other.answer(ERROR_TEXT, status, extra=extra)
                    self.assert_cut_after_the_first_event(client)
                    self.assertNotIn(b"memory", client.received)

    def test_a_continuation_without_signature_never_gets_into_a_stream(self):
        client, other = self.break_off()
        other.answer(ERROR_TEXT, extra=b"Content-Type: text/event-stream\r\n", signed=False)
        self.assert_cut_after_the_first_event(client)


class ResumptionTest(SoftwareVersionTestCase):
    def test_an_empty_answer_to_a_client_that_resumes_does_not_end_its_stream_as_complete(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.client.disconnect_client()
        client = self.resume(b"2", b"1")
        server = self.harness.connect()
        server.begin_answer(FRAMINGS[0], request_id=b"2")
        self.assertNotEqual(client.status, 200)


if __name__ == "__main__":
    unittest.main()
