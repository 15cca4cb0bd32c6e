"""Test that slow streams go on, and that stalled ones end with their client's time."""

import unittest

from support_gateway import NON_RESUMABLE_STREAM_PATH, STREAM_PATH, GatewayTestCase, endpoint

MODEL = b"X-Use-Model: m\r\n"
LEFT_MS = 12_000
GAP_S = 1.9
EVENT = b"id: %d\ndata: x\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class SlowStreamTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))

    def begin_stream(self, path):
        client = self.send(path, MODEL, LEFT_MS)
        server = self.harness.connect()
        server.begin_stream(b"%d" % self._requests)
        return client, server

    def test_a_slow_stream_goes_on_until_its_end(self):
        for path in (STREAM_PATH, NON_RESUMABLE_STREAM_PATH):
            with self.subTest(path=path):
                self.setUp()
                client, server = self.begin_stream(path)
                for number in range(1, 7):
                    server.chunk(EVENT % number)
                    self.reactor.advance(GAP_S)
                server.send_bytes(LAST_CHUNK)
                events = b"".join(EVENT % number for number in range(1, 7))
                self.assertEqual(client.response(), (200, events, True))

    def test_a_stream_of_single_bytes_ends_with_its_clients_time(self):
        for path in (STREAM_PATH, NON_RESUMABLE_STREAM_PATH):
            with self.subTest(path=path):
                self.setUp()
                client, server = self.begin_stream(path)
                server.chunk(EVENT % 1)
                for _ in range(LEFT_MS // 100):
                    if server.transport.aborted:
                        break
                    server.chunk(b"x")
                    self.reactor.advance(0.1)
                self.assertTrue(server.transport.aborted)
                self.assertTrue(client.transport.aborted)
                self.assertFalse(client.response()[2])


if __name__ == "__main__":
    unittest.main()
