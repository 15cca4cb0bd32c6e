"""Test how responses that end early, or without a length or chunks, reach the client."""

import itertools
import unittest
from dataclasses import dataclass

from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    NON_RESUMABLE_STREAM_PATH,
    STREAM_PATH,
    GatewayHarness,
    endpoint,
)

LOGGER = "hemlockdock_entry.gateway.exchange_log"
MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"
EVENT_3 = b"id: 3\ndata: z\n\n"
LAST_CHUNK = b"0\r\n\r\n"
REST_BY_LAST_ID = {None: EVENT_1 + EVENT_2 + EVENT_3, b"1": EVENT_2 + EVENT_3, b"2": EVENT_3}
EVENT_STREAM = b"text/event-stream"
JSON = b"application/json"

SENT_BY_CASE = {
    "whole": EVENT_1 + EVENT_2,
    "between": EVENT_1,
    "inside": EVENT_1 + EVENT_2[:5],
    "inside_first": EVENT_1[:5],
    "empty": b"",
}
INSIDE_AN_EVENT = ("inside", "inside_first")


@dataclass(frozen=True)
class Ending:
    """One way in which an endpoint's response ends.

    Attributes
    ----------
    framing : str
        ``length``, ``chunks`` or ``neither``.
    end : str
        ``marked``, ``closed`` or ``reset``: the end that the framing marks, or the connection's.
    sent : str
        Key of SENT_BY_CASE.
    version : bytes
        HTTP version of the response.
    """

    framing: str
    end: str
    sent: str
    version: bytes

    @property
    def is_whole_stream(self):
        """Return whether a stream that ends so may be taken for complete."""
        if self.sent in INSIDE_AN_EVENT:
            return False
        if self.end == "marked":
            return True
        return self.framing == "neither" and self.end == "closed" and self.sent != "empty"

    @property
    def is_whole_answer(self):
        """Return whether an answer that is no stream and ends so is complete."""
        return self.end == "marked" or (self.framing == "neither" and self.end == "closed")

    def play(self, server, content_type):
        """Send the response and its end from an endpoint."""
        body = SENT_BY_CASE[self.sent]
        missing = 0 if self.end == "marked" else 10
        framing = {
            "length": b"Content-Length: %d" % (len(body) + missing),
            "chunks": b"Transfer-Encoding: chunked",
            "neither": None,
        }[self.framing]
        server.begin_answer(framing, content_type, self.version)
        if self.framing == "chunks":
            if body:
                server.chunk(body)
            if self.end == "marked":
                server.send_bytes(LAST_CHUNK)
        elif body:
            server.send_bytes(body)
        if self.end != "marked":
            server.close(cleanly=self.end == "closed")


def endings():
    """Return all combinations that HTTP allows."""
    found = []
    for framing, end, sent, version in itertools.product(
        ("length", "chunks", "neither"),
        ("marked", "closed", "reset"),
        SENT_BY_CASE,
        (b"1.0", b"1.1"),
    ):
        if framing == "neither" and end == "marked":
            continue
        if framing == "chunks" and version == b"1.0":
            continue
        found.append(Ending(framing, end, sent, version))
    return found


class EndingsTestCase(unittest.TestCase):
    def prepare(self):
        self.harness = GatewayHarness()
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("y", "lm", 4, models=("m",))
        )
        self.client = self.harness.client()

    def send_request(self, path, client_version=b"1.1"):
        self.prepare()
        extra = MODEL if path in (STREAM_PATH, NON_RESUMABLE_STREAM_PATH) else b""
        self.client.send_request(path, left_ms=5_000, extra=extra, version=client_version)
        return self.harness.connect()

    def assert_not_framed_as_complete(self):
        status, body, is_complete = self.client.response()
        if status == 200:
            self.assertFalse(is_complete)
            self.assertTrue(self.client.transport.aborted)
            return
        self.assertEqual(status, 502)
        self.assertTrue(is_complete)


class StreamEndingTest(EndingsTestCase):
    def check_non_resumable(self, ending, client_version=b"1.1"):
        with self.subTest(ending=ending, client_version=client_version):
            server = self.send_request(NON_RESUMABLE_STREAM_PATH, client_version)
            ending.play(server, EVENT_STREAM)
            self.assertEqual(len(self.harness.reactor.connecting), 0)
            if not ending.is_whole_stream:
                self.assert_not_framed_as_complete()
                return
            expected = (200, SENT_BY_CASE[ending.sent], True)
            self.assertEqual(self.client.response(), expected)
            self.assertFalse(self.client.transport.aborted)

    def check_resumable(self, ending, client_version=b"1.1"):
        with self.subTest(ending=ending, client_version=client_version):
            server = self.send_request(STREAM_PATH, client_version)
            ending.play(server, EVENT_STREAM)
            if ending.is_whole_stream:
                expected = (200, SENT_BY_CASE[ending.sent], True)
                self.assertEqual(self.client.response(), expected)
                return
            other = self.harness.connect()
            self.assertNotEqual(other.port, server.port)
            other.begin_answer(b"Transfer-Encoding: chunked")
            other.chunk(REST_BY_LAST_ID[other.header(b"last-event-id")])
            other.send_bytes(LAST_CHUNK)
            self.assertEqual(self.client.response(), (200, EVENT_1 + EVENT_2 + EVENT_3, True))

    def test_a_stream_cut_inside_an_event_is_not_framed_as_complete(self):
        for ending in endings():
            if ending.sent in INSIDE_AN_EVENT:
                self.check_non_resumable(ending)
                self.check_resumable(ending)

    def test_an_unmarked_end_before_the_first_event_is_not_framed_as_complete(self):
        for ending in endings():
            if ending.sent == "empty":
                self.check_non_resumable(ending)
                self.check_resumable(ending)

    def test_a_stream_that_ends_between_events_is_whole_if_its_end_may_be_believed(self):
        for ending in endings():
            if ending.sent in ("whole", "between"):
                self.check_non_resumable(ending)
                self.check_resumable(ending)

    def test_a_client_of_http_1_0_gets_a_stream_without_chunks(self):
        for ending in endings():
            self.check_non_resumable(ending, b"1.0")
            self.check_resumable(ending, b"1.0")

    def test_a_stream_with_other_line_ends_is_whole(self):
        for route in (STREAM_PATH, NON_RESUMABLE_STREAM_PATH):
            for events in (
                b"id: 1\r\ndata: x\r\n\r\n",
                EVENT_1 + b"\n",
                b": comment\n\n" + EVENT_1,
            ):
                with self.subTest(route=route, events=events):
                    server = self.send_request(route)
                    server.begin_answer(None)
                    server.send_bytes(events)
                    server.close(cleanly=True)
                    self.assertEqual(self.client.response(), (200, events, True))

    def test_a_stream_whose_events_have_no_ids_does_not_begin_again_midway(self):
        server = self.send_request(STREAM_PATH)
        server.begin_answer(None)
        server.send_bytes(b"data: x\n\n")
        server.close()
        self.assertEqual(len(self.harness.reactor.connecting), 0)
        self.assert_not_framed_as_complete()

    def test_events_split_over_segments_reach_the_client_whole(self):
        server = self.send_request(NON_RESUMABLE_STREAM_PATH)
        server.begin_answer(None)
        for byte in EVENT_1 + EVENT_2 + b"\n":
            server.send_bytes(bytes([byte]))
        server.close(cleanly=True)
        self.assertEqual(self.client.response(), (200, EVENT_1 + EVENT_2 + b"\n", True))

    def test_an_event_without_an_end_does_not_fill_the_memory(self):
        server = self.send_request(NON_RESUMABLE_STREAM_PATH)
        server.begin_answer(None)
        for _ in range(9):
            server.send_bytes(b"x" * 1024 * 1024)
        self.assertTrue(server.transport.aborted)
        self.assert_not_framed_as_complete()


class PlainAnswerEndingTest(EndingsTestCase):
    def check(self, path, may_repeat):
        for ending, client_version in itertools.product(endings(), (b"1.0", b"1.1")):
            with self.subTest(path=path, ending=ending, client_version=client_version):
                self.check_one(path, may_repeat, ending, client_version)

    def check_one(self, path, may_repeat, ending, client_version):
        server = self.send_request(path, client_version)
        ending.play(server, JSON)
        if ending.is_whole_answer:
            expected = (200, SENT_BY_CASE[ending.sent], True)
            self.assertEqual(self.client.response(), expected)
            return
        if not may_repeat:
            self.assert_not_framed_as_complete()
            return
        other = self.harness.connect()
        other.begin_answer(b"Content-Length: 5", JSON)
        other.send_bytes(b"whole")
        self.assertEqual(self.client.response(), (200, b"whole", True))

    def test_an_idempotent_answer_that_was_cut_is_asked_for_again(self):
        self.check(IDEMPOTENT_PATH, may_repeat=True)

    def test_an_answer_of_a_run_once_request_that_was_cut_is_not_framed_as_complete(self):
        self.check(AT_MOST_ONCE_PATH, may_repeat=False)

    def test_a_plain_answer_on_a_stream_route_is_not_judged_by_events(self):
        self.check(STREAM_PATH, may_repeat=True)
        self.check(NON_RESUMABLE_STREAM_PATH, may_repeat=False)

    def test_a_stream_does_not_continue_with_a_plain_answer(self):
        server = self.send_request(STREAM_PATH)
        server.begin_answer(None)
        server.send_bytes(EVENT_1)
        server.close()
        other = self.harness.connect()
        other.begin_answer(b"Content-Length: 2", JSON)
        other.send_bytes(b"{}")
        self.assert_not_framed_as_complete()


class LogTest(EndingsTestCase):
    def test_log_tells_the_framing_and_an_incomplete_event(self):
        with self.assertLogs(LOGGER) as logs:
            server = self.send_request(NON_RESUMABLE_STREAM_PATH)
            server.begin_answer(framing=None)
            server.send_bytes(EVENT_1 + EVENT_2[:4])
            server.close(cleanly=True)
        record = logs.records[-1]
        self.assertEqual((record.framing, record.inside_event), ("connection_end", True))
