"""Test how the gateway treats the connections of clients."""

import unittest

from support_gateway import (
    IDEMPOTENT_PATH,
    STREAM_PATH,
    SingleClientTestCase,
    endpoint,
)

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class ClientTest(SingleClientTestCase):
    def test_malformed_request_is_refused(self):
        self.client.connection.dataReceived(b"NONSENSE\r\n\r\n")
        self.assertEqual(self.client.status, 400)

    def test_content_length_with_chunked_encoding_is_refused(self):
        self.client.connection.dataReceived(
            b"POST /read/ HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /write/ HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(self.client.status, 400)
        self.assertEqual(self.pending_connections, 0)

    def test_too_large_header_is_refused(self):
        self.client.send_request(IDEMPOTENT_PATH, extra=b"X-Long: %b\r\n" % (b"x" * 2_000))
        self.assertEqual(self.client.status, 431)

    def test_too_large_body_is_refused(self):
        self.client.send_request(IDEMPOTENT_PATH, body=b"x" * 20_000)
        self.assertEqual(self.client.status, 413)
        self.assertEqual(self.pending_connections, 0)

    def test_incomplete_header_is_refused_after_the_timeout(self):
        self.client.connection.dataReceived(b"POST /read/ HTTP/1.1\r\n")
        self.wait(3.0)
        self.assertEqual(self.client.status, 408)

    def test_chunked_body_is_forwarded(self):
        self.client.connection.dataReceived(
            b"POST /read/ HTTP/1.1\r\nHost: shop\r\nX-Request-Id: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertTrue(self.connect().received.endswith(b"\r\n\r\nabcde"))

    def test_pipelined_requests_are_answered_in_order(self):
        self.harness.delete_row("endpoint/b")
        self.client.send_request(IDEMPOTENT_PATH, request_id=b"1")
        self.client.send_request(IDEMPOTENT_PATH, request_id=b"2")
        server = self.connect()
        server.answer(b"first", request_id=b"1")
        server.answer(b"second", request_id=b"2")
        self.assertLess(self.client.received.index(b"first"), self.client.received.index(b"second"))

    def test_idle_connection_is_closed_after_the_timeout(self):
        self.wait(14.9)
        self.harness.gateway.run_maintenance()
        self.assertFalse(self.client.transport.disconnecting)
        self.wait(0.2)
        self.harness.gateway.run_maintenance()
        self.assertTrue(self.client.transport.disconnecting)

    def test_draining_entry_sends_connection_close(self):
        self.client.send_request(IDEMPOTENT_PATH)
        self.harness.gateway.draining = True
        self.connect().answer()
        self.assertIn(b"Connection: close", self.client.received)
        self.assertTrue(self.client.transport.disconnecting)

    def test_draining_entry_closes_connections_after_responses_in_progress(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.client.send_request(STREAM_PATH, left_ms=9_000, extra=MODEL)
        server = self.connect()
        server.begin_stream()
        server.chunk(EVENT_1)
        self.harness.gateway.draining = True
        server.send_bytes(LAST_CHUNK)
        self.assertNotIn(b"Connection: close", self.client.received)
        self.assertTrue(self.client.transport.disconnecting)
        self.client.send_request(IDEMPOTENT_PATH, request_id=b"2")
        self.assertEqual(self.pending_connections, 0)

    def test_stopping_entry_refuses_new_requests(self):
        self.harness.gateway.refuses_new_requests = True
        self.client.send_request(IDEMPOTENT_PATH)
        self.assertEqual((self.client.status, self.pending_connections), (503, 0))


if __name__ == "__main__":
    unittest.main()
