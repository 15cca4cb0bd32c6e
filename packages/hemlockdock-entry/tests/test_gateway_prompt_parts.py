"""Test that prompts with a part that crashes endpoints are not sent again and again."""

import unittest

from support_gateway import STREAM_PATH, endpoint
from support_quarantine import CRASH_DETECTION_S, FAR_FUTURE_MS, QuarantineTestCase

from hemlockdock_core.rows import QuarantineRow
from hemlockdock_entry.gateway.prompt_parts import MAX_PARTS, shared_parts

EVENT = b"e\r\nid: 1\ndata: x\n\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class PromptPartTestCase(QuarantineTestCase):
    """Streams whose prompts share parts; no two have the same content."""

    def setUp(self):
        super().setUp()
        for number in range(4):
            self.harness.put_rows(endpoint(f"m{number}", "lm", 10 + number, models=("m",)))

    def send_prompt(self, *parts):
        """Send a stream whose prompt has these parts and one of its own."""
        listed = ",".join(f"{part}:10" for part in (*parts, f"own{self._requests}"))
        header = b"X-Use-Model: m\r\nX-Prompt-Parts: %b\r\n" % listed.encode()
        return self.send(b"content %d" % self._requests, STREAM_PATH, header)

    def begin(self):
        """Return the endpoint that takes the oldest request, after its first event."""
        server = self.harness.connect()
        server.begin_stream(b"%d" % self._requests)
        server.send_bytes(EVENT)
        return server

    def serve(self, *parts):
        """Let a prompt be answered completely."""
        client = self.send_prompt(*parts)
        server = self.begin()
        server.send_bytes(LAST_CHUNK)
        server.close(cleanly=True)
        self.harness.reactor.connecting.clear()
        self.harness.reactor.advance(1.0)
        self.harness.gateway.run_maintenance()
        return client

    def crash_prompt(self, *parts):
        """Let a prompt crash one endpoint as that begins to answer, without a further attempt."""
        client = self.send_prompt(*parts)
        server = self.harness.connect()
        server.begin_stream(b"%d" % self._requests)
        self.crash(server)
        client.disconnect_client()
        self.harness.reactor.connecting.clear()
        self.harness.reactor.advance(CRASH_DETECTION_S)

    def assert_refused(self, *parts):
        client = self.send_prompt(*parts)
        self.assertEqual(self.waiting_ports, [])
        self.assertEqual(client.status, 503)
        self.assertIn(b"Retry-After: ", client.received)

    def assert_sent(self, *parts):
        client = self.send_prompt(*parts)
        self.assertEqual(len(self.waiting_ports), 1)
        client.disconnect_client()
        self.harness.reactor.connecting.clear()


class CrashingPartTest(PromptPartTestCase):
    @unittest.expectedFailure
    def test_prompts_with_a_part_that_crashed_three_endpoints_are_refused_at_once(self):
        self.serve("first", "sound")
        for _ in range(3):
            self.crash_prompt("first", "bad")
        self.assert_refused("first", "bad")
        self.assert_refused("other", "bad", "sound")
        self.assert_sent("first", "sound")
        self.assert_sent("first", "new")

    @unittest.expectedFailure
    def test_prompts_with_a_part_that_crashed_endpoints_of_other_entries_are_refused(self):
        self.serve("first", "sound")
        self.harness.put_rows(QuarantineRow("part:bad", 3, True, FAR_FUTURE_MS, ("a", "b", "c")))
        self.assert_refused("first", "bad")
        self.assert_sent("first", "sound")


class SharedPartsTest(unittest.TestCase):
    def test_the_last_part_is_the_requests_own(self):
        self.assertEqual(shared_parts(b"a:10,b:5,c:7"), ("a", "b"))
        self.assertEqual(shared_parts(b"a:10"), ())
        self.assertEqual(shared_parts(b""), ())

    def test_malformed_and_repeated_parts_are_left_out(self):
        self.assertEqual(shared_parts(b"a, ,:3,a:9,%b:1,own:1" % (b"x" * 65)), ("a",))

    def test_a_client_that_names_thousands_of_parts_gets_no_more_memory(self):
        value = b",".join(b"p%d:1" % number for number in range(5_000))
        self.assertEqual(len(shared_parts(value)), MAX_PARTS)


if __name__ == "__main__":
    unittest.main()
