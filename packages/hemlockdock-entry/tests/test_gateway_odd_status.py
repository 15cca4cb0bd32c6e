"""Test that an answer whose status HTTP doesn't know never reaches a client."""

import unittest

from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    STREAM_PATH,
    GatewayTestCase,
    endpoint,
)

MODEL = b"X-Use-Model: m\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
ODD_STATUSES = (b"000", b"001", b"099", b"600", b"999", b"2000")
EVENT = b"id: 1\ndata: x\n\n"


def odd_answer(status, request_id=b"1"):
    """Return an answer that is whole and signed but for its status."""
    return (
        b"HTTP/1.1 %b X\r\nX-Request-Id: %b\r\nX-Answer-Signature: s\r\n"
        b"Content-Length: 6\r\n\r\nsecret" % (status, request_id)
    )


class OddStatusTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("yy", "lm", 4, models=("m",))
        )

    def assert_told_at_once(self, client):
        self.assertEqual(client.status, 502)
        self.assertNotIn(b"secret", client.received)
        self.assertNotIn(b"X-Answer-Signature", client.received)

    def test_a_request_waits_to_its_deadline_for_more_than_an_answer_of_status_000(self):
        # Guards against a status under 100 that counts as interim, and one over 599 as an answer.
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.setUp()
                client = self.send(AT_MOST_ONCE_PATH)
                server = self.harness.connect()
                server.send_bytes(odd_answer(status))
                self.assertTrue(server.transport.aborted)
                self.assert_told_at_once(client)

    def test_an_odd_status_behind_an_interim_response_is_waited_on(self):
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.setUp()
                client = self.send(AT_MOST_ONCE_PATH)
                server = self.harness.connect()
                server.send_bytes(INTERIM)
                self.assertIsNone(client.status)
                server.send_bytes(odd_answer(status))
                self.assert_told_at_once(client)

    def test_an_odd_status_on_a_kept_connection_is_waited_on(self):
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.setUp()
                self.harness.delete_row("endpoint/b")
                client = self.send(AT_MOST_ONCE_PATH)
                server = self.harness.connect()
                server.answer()
                self.assertEqual(client.status, 200)
                client.send_request(AT_MOST_ONCE_PATH, b"2")
                self.assertEqual(server.header(b"x-request-id"), b"2")
                server.send_bytes(odd_answer(status, b"2"))
                self.assertTrue(server.transport.aborted)
                self.assertEqual(client.status, 502)
                self.assertNotIn(b"secret", client.received)

    def test_an_odd_status_behind_an_answer_spoils_that_answer(self):
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.setUp()
                client = self.send(AT_MOST_ONCE_PATH)
                server = self.harness.connect()
                server.send_bytes(
                    b"HTTP/1.1 200 X\r\nX-Request-Id: 1\r\nX-Answer-Signature: s\r\n"
                    b"Content-Length: 2\r\n\r\nok" + odd_answer(status)
                )
                self.assertEqual(client.response(), (200, b"ok", True))
                self.assertTrue(server.transport.aborted or server.transport.disconnecting)

    def test_an_idempotent_request_is_not_sent_on_after_an_odd_status(self):
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.setUp()
                client = self.send(IDEMPOTENT_PATH)
                self.harness.connect().send_bytes(odd_answer(status))
                self.harness.connect().answer()
                self.assertEqual(client.response(), (200, b"ok", True))

    def test_an_odd_status_gets_into_a_stream(self):
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.setUp()
                client = self.send(STREAM_PATH, MODEL)
                server = self.harness.connect()
                server.begin_answer(b"Transfer-Encoding: chunked")
                server.chunk(EVENT)
                server.close()
                other = self.harness.connect()
                self.assertEqual(other.header(b"last-event-id"), b"1")
                other.send_bytes(odd_answer(status))
                status_got, body, is_complete = client.response()
                self.assertEqual((status_got, is_complete), (200, False))
                self.assertIn(EVENT, body)
                self.assertNotIn(b"secret", client.received)


if __name__ == "__main__":
    unittest.main()
