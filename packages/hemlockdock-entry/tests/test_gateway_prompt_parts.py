"""Test that prompts with a part that crashes endpoints are not sent again and again."""

import unittest

from support_gateway import STREAM_PATH, endpoint
from support_quarantine import CRASH_DETECTION_S, FAR_FUTURE_MS, QuarantineTestCase

from hemlockdock_core.commands import RecordCrash, ReleaseQuarantine
from hemlockdock_core.rows import QuarantineRow
from hemlockdock_entry.gateway.crash_reports import (
    MAX_REPORTED_PARTS,
    RELEASE_DELAY_S,
    CrashReporter,
)
from hemlockdock_entry.gateway.part_quarantine import MAX_SEEN_PARTS, PartQuarantine
from hemlockdock_entry.gateway.prompt_parts import MAX_PARTS, shared_parts
from hemlockdock_entry.gateway.sound_parts import MAX_PARTS as SOUND_LIMIT
from hemlockdock_entry.gateway.sound_parts import SoundParts

EVENT = b"f\r\nid: 1\ndata: x\n\n\r\n"
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
        self.harness.reactor.advance(1.0)
        self.harness.gateway.run_maintenance()
        server.close(cleanly=True)
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
    def test_prompts_with_a_part_that_crashed_three_endpoints_are_refused_at_once(self):
        self.serve("first", "sound")
        for _ in range(3):
            self.crash_prompt("first", "bad")
        self.assert_refused("first", "bad")
        self.assert_refused("other", "bad", "sound")
        self.assert_sent("first", "sound")
        self.assert_sent("first", "new")

    def test_prompts_with_a_part_that_crashed_endpoints_of_other_entries_are_refused(self):
        self.serve("first", "sound")
        self.harness.put_rows(QuarantineRow("part:bad", 3, True, FAR_FUTURE_MS, ("a", "b", "c")))
        self.assert_refused("first", "bad")
        self.assert_sent("first", "sound")


class SoundPartTest(PromptPartTestCase):
    """Parts that are seen in crashes and are sound."""

    def reported_parts(self):
        """Return the suspected parts of the last reported crash."""
        crashes = [item for item in self.harness.link.proposed if isinstance(item, RecordCrash)]
        (parts,) = crashes[-1].parts_by_fingerprint.values()
        return parts

    def released(self):
        self.harness.reactor.advance(RELEASE_DELAY_S)
        proposed = self.harness.link.proposed
        return {item.fingerprint for item in proposed if isinstance(item, ReleaseQuarantine)}

    def test_parts_that_were_answered_before_are_not_reported(self):
        self.serve("first", "sound")
        self.crash_prompt("first", "bad", "sound")
        self.assertEqual(self.reported_parts(), ("bad",))

    def test_the_last_part_is_no_suspect(self):
        for number in range(3):
            parts = f"first{number}:1,session:1"
            header = b"X-Use-Model: m\r\nX-Prompt-Parts: %b\r\n" % parts.encode()
            client = self.send(b"%d" % number, STREAM_PATH, header)
            self.crash(self.harness.connect())
            client.disconnect_client()
            self.harness.reactor.connecting.clear()
            self.assertEqual(self.reported_parts(), (f"first{number}",))

    def test_one_request_that_comes_again_does_not_make_its_parts_suspects(self):
        header = b"X-Use-Model: m\r\nX-Prompt-Parts: first:1,subject:1,own:1\r\n"
        for _ in range(3):
            client = self.send(b"the same", STREAM_PATH, header)
            self.crash(self.harness.connect())
            client.disconnect_client()
            self.harness.reactor.connecting.clear()
        self.assertEqual(self.send(b"the same", STREAM_PATH, header).status, 503)
        self.assert_sent("first", "subject")

    def test_a_stream_that_had_carried_on_says_nothing_about_its_parts(self):
        client = self.send_prompt("first", "long")
        server = self.begin()
        self.harness.reactor.advance(0.6)
        server.send_bytes(EVENT)
        self.crash(server)
        client.disconnect_client()
        self.assertEqual(self.reported_parts(), ())

    def test_an_entry_that_knows_a_suspected_part_to_be_sound_releases_it(self):
        self.serve("first")
        row = QuarantineRow("part:first", 1, False, FAR_FUTURE_MS, ("a",))
        self.harness.put_rows(row, QuarantineRow("part:bad", 1, False, FAR_FUTURE_MS, ("a",)))
        self.assertEqual(self.released(), {"part:first"})

    def test_a_suspected_part_is_released_once_it_is_answered(self):
        row = QuarantineRow("part:rare", 2, False, FAR_FUTURE_MS, ("a", "b"))
        self.harness.put_rows(row)
        self.serve("rare")
        self.assertEqual(self.released(), {"part:rare"})

    def test_a_client_that_names_foreign_parts_beside_its_own_blocks_nobody(self):
        self.serve("first", "foreign")
        for number in range(4):
            self.crash_prompt("first", "foreign", f"own{number}")
        self.assert_sent("first", "foreign")

    def test_a_report_names_a_limited_number_of_parts(self):
        parts = tuple(f"part-{number}" for number in range(MAX_PARTS))
        in_flight = {f"request-{number:02}": parts for number in range(20)}
        CrashReporter(self.harness.gateway, "e").report_crash(endpoint("m0"), in_flight)
        (command,) = self.harness.link.proposed
        self.assertEqual(command.fingerprints, list(in_flight))
        reported = sum(len(parts) for parts in command.parts_by_fingerprint.values())
        self.assertEqual(reported, MAX_REPORTED_PARTS)

    def test_memory_for_parts_is_limited(self):
        parts = SoundParts()
        quarantine = PartQuarantine()
        for number in range(20_000):
            parts.record((str(number),), 0.0)
            quarantine.record_crash("e", {"f": (str(number),)}, 0.0)
        self.assertLessEqual(len(parts._answered_s_by_part), SOUND_LIMIT)
        self.assertLessEqual(len(quarantine._seen_by_part), MAX_SEEN_PARTS)


class IndistinguishablePartsTest(PromptPartTestCase):
    """Two parts that were in the same three crashes."""

    def setUp(self):
        super().setUp()
        for _ in range(3):
            self.crash_prompt("first", "bad")
            self.harness.reactor.advance(1.0)

    def test_prompts_with_both_are_refused(self):
        self.assert_refused("first", "bad")

    def test_prompts_with_one_of_them_are_tried_one_at_a_time(self):
        client = self.send_prompt("first", "new")
        server = self.harness.connect()
        self.assert_refused("first", "other")
        server.begin_stream(b"%d" % (self._requests - 1))
        server.send_bytes(EVENT + LAST_CHUNK)
        self.assertEqual(client.status, 200)
        self.harness.reactor.advance(1.0)
        self.harness.gateway.run_maintenance()
        self.harness.reactor.connecting.clear()
        server.close(cleanly=True)
        self.assert_sent("first", "other")
        self.assert_sent("first", "another")
        self.assert_refused("first", "bad")

    def test_a_part_that_crashes_an_endpoint_without_the_others_explains_the_crashes(self):
        self.crash_prompt("bad", "new")
        self.assert_refused("another", "bad")
        self.assert_sent("first", "other")

    def test_requests_beside_a_prompt_that_explains_the_crash_are_no_suspects(self):
        for number in range(1, 4):
            self.harness.delete_row(f"endpoint/m{number}")
        self.send_prompt("sound")
        self.send_prompt("bad", "new")
        beside, trial = self.harness.connect(), self.harness.connect()
        beside.close(cleanly=True)
        self.crash(trial)
        reported = self.harness.link.proposed[-1].parts_by_fingerprint
        self.assertEqual(list(reported.values()), [("bad", "new")])

    def test_parts_that_control_can_not_tell_apart_are_tried_too(self):
        crash_ids = ("x", "y", "z")
        for part in ("p", "q"):
            row = QuarantineRow(f"part:{part}", 3, True, FAR_FUTURE_MS, crash_ids)
            self.harness.put_rows(row)
        self.assert_refused("p", "q")
        self.assert_sent("p")
        self.assert_refused("p")
        self.harness.reactor.advance(1.1)
        self.assert_sent("q")


class IsolationTest(PromptPartTestCase):
    """Requests that probably crash their endpoint, and where others run meanwhile."""

    def setUp(self):
        super().setUp()
        for part in ("suspect", "suspect2"):
            row = QuarantineRow(f"part:{part}", 2, False, FAR_FUTURE_MS, ("a", "b"))
            self.harness.put_rows(row)

    def test_all_entries_send_them_to_the_same_endpoint(self):
        for part in ("suspect", "suspect2", "suspect"):
            self.send_prompt("first", part)
        self.assertEqual(self.waiting_ports, [10, 10, 10])

    def test_sound_requests_run_elsewhere_while_there_is_another_endpoint(self):
        self.send_prompt("first", "suspect")
        for _ in range(3):
            self.send_prompt("first", "sound")
        self.assertNotIn(10, self.waiting_ports[1:])

    def test_sound_requests_run_beside_them_if_there_is_no_other_endpoint(self):
        for number in range(1, 4):
            self.harness.delete_row(f"endpoint/m{number}")
        self.send_prompt("first", "suspect")
        self.send_prompt("first", "sound")
        self.assertEqual(self.waiting_ports, [10, 10])


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
