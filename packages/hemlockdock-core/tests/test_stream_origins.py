"""Test how long and how many origins of streams are kept."""

import unittest

from hemlockdock_core import stream_origins
from hemlockdock_core.stream_origins import StreamOrigin, StreamOriginStore

V1 = StreamOrigin("lm", "v1")
V2 = StreamOrigin("lm", "v2")


class StreamOriginStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = StreamOriginStore()

    def test_an_origin_is_kept_for_its_time(self):
        self.store.record("long", V1, 9_000, 0.0)
        self.store.record("short", V2, 1_000, 0.0)
        self.assertEqual(self.store.find("short", 0.9), V2)
        self.assertIsNone(self.store.find("short", 1.0))
        self.assertEqual(self.store.find("long", 8.9), V1)
        self.assertIsNone(self.store.find("long", 9.0))
        self.assertEqual(len(self.store), 0)

    def test_the_first_origin_of_a_stream_stays(self):
        self.store.record("1", V1, 9_000, 0.0)
        self.store.record("1", V2, 9_000, 0.0)
        self.assertEqual(self.store.find("1", 1.0), V1)

    def test_the_number_of_origins_is_limited(self):
        for number in range(stream_origins.MAX_ORIGINS + 1):
            self.store.record(str(number), V1, 9_000 + number, 0.0)
        self.assertEqual(len(self.store), stream_origins.MAX_ORIGINS)
        self.assertIsNone(self.store.find("0", 0.0))
        self.assertEqual(self.store.find("1", 0.0), V1)

    def test_a_very_long_id_is_not_kept(self):
        for length, kept in ((stream_origins.MAX_ID_CHARACTERS, True), (129, False)):
            self.store.record("x" * length, V1, 9_000, 0.0)
            self.assertEqual(self.store.find("x" * length, 0.0) is not None, kept)

    def test_no_origin_is_kept_without_end(self):
        self.store.record("1", V1, 10**9, 0.0)
        self.assertIsNone(self.store.find("1", stream_origins.MAX_KEEP_MS / 1_000))
