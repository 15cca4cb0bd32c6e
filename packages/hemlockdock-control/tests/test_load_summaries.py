"""Test which endpoint loads the leader sends to entries."""

import unittest
from dataclasses import replace

from support_fleet import POOL, report

from hemlockdock_control.fleet.load_summaries import (
    BYTES_PER_S,
    OVERHEAD_BYTES,
    LoadSummaries,
)
from hemlockdock_control.fleet.registry import AgentReport, EndpointRegistry
from hemlockdock_core.messages import NODE_CODEC, SUMMARY_INTERVAL_S, EndpointReport, load_key
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.settings.sections import FleetSection
from hemlockdock_core.wire import ListedEndpoint


class LoadSummariesTest(unittest.TestCase):
    def setUp(self):
        self.registry = EndpointRegistry()
        self.summaries = LoadSummaries(FleetSection(share_load="always"))

    def list_endpoints(self, count):
        self.ids = [f"i-{number:010x}" for number in range(count)]
        self.registry.set_directory(
            [ListedEndpoint(name, POOL, name, "d", 32, False, (), "") for name in self.ids]
        )

    def report(self, name, running, now_s, **values):
        engine = replace(report(running=running), cache_used_tokens=450, cache_tokens=1_000)
        body = EndpointReport(POOL, name, engine, 0, False, 0, speed=25.4321, **values)
        self.registry.record_report(AgentReport("tcp://a", 1, body, now_s))

    def next(self, now_s):
        return self.summaries.next_summary(self.registry, now_s)

    def sent_ids(self, now_s):
        name_by_key = {load_key(name): name for name in self.ids}
        return [name_by_key[load.key] for load in self.next(now_s).loads]

    def test_a_load_is_sent_with_its_age(self):
        """Entries could otherwise not tell how much has changed since the report."""
        self.list_endpoints(1)
        self.report(self.ids[0], 17, 5.0)
        [load] = self.next(5.25).loads
        self.assertEqual((load.key, load.running, load.age_ms), (load_key(self.ids[0]), 17, 250))
        self.assertEqual((load.cache_used_percent, load.speed_milli), (45, 25_432))

    def test_an_entry_gets_less_than_1000_bytes_a_second(self):
        """Values could take more bytes than the budget assumes."""
        self.list_endpoints(600)
        for name in self.ids:
            self.report(name, 200, 0.0)
        summary = self.next(1.5)
        self.assertGreater(len(summary.loads), 15)
        frame = Frame(PROTOCOL_VERSION, "i-0123456789", 1_700_000_000_000, "tcp://a:1", summary)
        data = NODE_CODEC.encode(frame)
        per_s = (
            len(data) - len(NODE_CODEC.encode(replace_body(frame))) + OVERHEAD_BYTES
        ) / SUMMARY_INTERVAL_S
        self.assertLess(per_s, BYTES_PER_S)

    def test_loads_that_changed_most_go_first_and_none_is_left_out_for_long(self):
        """Entries would otherwise act on old loads of some endpoints."""
        self.list_endpoints(60)
        now_s = 0.0
        sent_s = {}
        for _ in range(20):
            for name in self.ids:
                self.report(name, 5, now_s)
            for name in self.sent_ids(now_s):
                sent_s[name] = now_s
            now_s += SUMMARY_INTERVAL_S
        self.assertGreater(min(sent_s.values()), now_s - 5 * SUMMARY_INTERVAL_S)
        changed = self.ids[-7:]
        for name in changed:
            self.report(name, 25, now_s)
        self.assertEqual(set(self.sent_ids(now_s)[:7]), set(changed))

    def test_engines_that_do_not_answer_or_are_silent_are_left_out(self):
        """Entries would otherwise choose endpoints by loads that no longer hold."""
        self.list_endpoints(3)
        self.report(self.ids[0], 1, 0.0, answers=False)
        self.report(self.ids[1], 1, -60.0)
        self.assertIsNone(self.next(0.0))

    def test_loads_are_shared_as_the_settings_say(self):
        """Deployments without the setting, or with an empty one, would otherwise get summaries."""
        for share_load, is_uneven, expected in (
            ("never", True, False),
            ("uneven", False, False),
            ("uneven", True, True),
            ("always", False, True),
            ("", True, False),
        ):
            with self.subTest(share_load=share_load, is_uneven=is_uneven):
                fleet = FleetSection(share_load=share_load)
                self.assertEqual(LoadSummaries(fleet).is_shared(is_uneven), expected)


def replace_body(frame):
    summary = type(frame.body)(())
    return Frame(frame.version, frame.sender, frame.incarnation, frame.reply_to, summary)


if __name__ == "__main__":
    unittest.main()
