"""Test streams through the gateway: events, continuation at another endpoint, endings."""

import unittest

from support_gateway import (
    NON_RESUMABLE_STREAM_PATH,
    STREAM_PATH,
    SingleClientTestCase,
    endpoint,
)

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"
EVENT_3 = b"id: 3\ndata: z\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def _fields(row):
    return (getattr(row, name) for name in row.__struct_fields__)


class StreamTest(SingleClientTestCase):
    def setUp(self):
        super().setUp()
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("y", "lm", 4, models=("m",))
        )

    def send_request(self, path=STREAM_PATH, **more):
        self.client.send_request(path, left_ms=12_000, extra=MODEL, **more)
        return self.connect()

    def body(self):
        """Return the body of the response so far, and whether it looks complete."""
        return self.client.response()[1:]

    def test_events_are_forwarded_as_they_arrive(self):
        server = self.send_request()
        server.begin_stream()
        server.chunk(EVENT_1)
        self.assertEqual(self.body(), (EVENT_1, False))
        server.chunk(EVENT_2)
        server.send_bytes(LAST_CHUNK)
        self.assertEqual(self.body(), (EVENT_1 + EVENT_2, True))

    def test_resumable_stream_continues_at_another_endpoint_without_gap_or_repeat(self):
        server = self.send_request()
        server.begin_stream()
        server.chunk(EVENT_1 + EVENT_2 + EVENT_3[:5])
        server.close()
        other = self.connect()
        self.assertNotEqual(server.port, other.port)
        self.assertEqual(other.header(b"last-event-id"), b"2")
        other.begin_stream()
        other.chunk(EVENT_3)
        other.send_bytes(LAST_CHUNK)
        self.assertEqual(self.body(), (EVENT_1 + EVENT_2 + EVENT_3, True))
        self.assertEqual(self.client.received.count(b"HTTP/1.1 "), 1)

    def test_non_resumable_stream_is_aborted(self):
        server = self.send_request(NON_RESUMABLE_STREAM_PATH)
        server.begin_stream()
        server.chunk(EVENT_1)
        server.close()
        self.assertEqual(self.pending_connections, 0)
        self.assertFalse(self.body()[1])
        self.assertTrue(self.client.transport.aborted)

    def test_stream_that_ends_inside_an_event_is_incomplete(self):
        server = self.send_request()
        server.begin_stream()
        server.chunk(EVENT_1 + EVENT_2[:4])
        server.send_bytes(LAST_CHUNK)
        self.assertEqual(self.body(), (EVENT_1, False))
        self.assertEqual(self.pending_connections, 1)


if __name__ == "__main__":
    unittest.main()
