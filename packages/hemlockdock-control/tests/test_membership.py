"""Test how nodes are found alive, leaving or lost."""

import json
import unittest

from support import StateDriver, node_info, settings
from twisted.internet import reactor
from twisted.internet.task import Clock, deferLater
from twisted.trial import unittest as trial_unittest
from twisted.web.resource import Resource
from twisted.web.server import Site

from hemlockdock_control.membership import (
    Beats,
    HostState,
    NodeBeat,
    PlatformList,
    SilenceClock,
    membership_commands,
)
from hemlockdock_control.membership.detector import MembershipView
from hemlockdock_control.service.contact import LeaderContact
from hemlockdock_core.commands import NodeLeaving, NodeLost, RegisterNode

MEMBERSHIP = settings().membership
LOST_MS = MEMBERSHIP.lost_after_ms
# An agent may have been acknowledged a little after the leader last heard of it.
CERTAIN_MS = MEMBERSHIP.certain_after_ms + LOST_MS


def beat(node_id="agent-1", incarnation=1, sequence=1, leaving=False, info=True):
    """Return a heartbeat."""
    info = node_info(node_id) if info else None
    return NodeBeat(node_id, incarnation, sequence, 0, 0, leaving, info, [])


class DetectorTest(unittest.TestCase):
    def setUp(self):
        self.driver = StateDriver()
        self.beats = Beats()
        self.hosts = {}
        self.silent_members = set()

    def commands(self, now_ms, led_since_ms=0.0):
        view = MembershipView(
            self.driver.state.nodes.record_by_id,
            self.beats.heard_by_id,
            self.hosts,
            led_since_ms,
            self.silent_members,
            now_ms,
            5_000,
        )
        return membership_commands(view, MEMBERSHIP)

    def heard(self, now_ms=0.0, **fields):
        self.beats.record(beat(**fields), now_ms)

    def test_a_first_heartbeat_registers(self):
        self.heard()
        self.assertEqual(self.commands(10), [RegisterNode(node_info("agent-1"), 1, 5_000)])

    def test_silence_is_lost_first_and_certain_later(self):
        self.driver.add_agent("agent-1")
        self.heard()
        self.assertEqual(self.commands(LOST_MS - 1), [])
        lost = NodeLost("agent-1", 1, 5_000, False)
        self.assertEqual(self.commands(LOST_MS), [lost])
        self.driver.apply(lost)
        self.assertEqual(self.commands(CERTAIN_MS - 1), [])
        self.assertEqual(self.commands(CERTAIN_MS), [NodeLost("agent-1", 1, 5_000, True)])

    def test_nodes_of_a_lost_member_have_time_to_move(self):
        self.driver.add_agent("agent-1")
        self.beats.record(beat(), 0.0, via="control-2")
        lost = [NodeLost("agent-1", 1, 5_000, False)]
        self.assertEqual(self.commands(LOST_MS), lost)
        self.silent_members = {"control-2"}
        self.assertEqual(self.commands(LOST_MS), [])
        self.assertEqual(self.commands(LOST_MS + 6 * MEMBERSHIP.heartbeat_ms), lost)

    def test_a_new_leader_gives_every_node_time(self):
        self.driver.add_agent("agent-1")
        self.assertEqual(self.commands(100_000, led_since_ms=100_000 - LOST_MS + 1), [])

    def test_the_platform_confirms_a_silence_but_overrules_no_heartbeat(self):
        self.driver.add_agent("agent-1")
        self.heard()
        self.hosts = {"host-agent-1": HostState.GONE}
        self.assertEqual(self.commands(10), [NodeLeaving("agent-1", 5_000, "platform")])
        self.assertEqual(self.commands(LOST_MS), [NodeLost("agent-1", 1, 5_000, True)])

    def test_leaving_by_the_agents_word_is_told_apart_from_lost(self):
        self.driver.add_agent("agent-1")
        self.heard(leaving=True)
        self.assertEqual(self.commands(10), [NodeLeaving("agent-1", 5_000, "agent")])

    def test_a_host_that_is_live_again_takes_work_again(self):
        self.driver.add_agent("agent-1")
        self.driver.apply(NodeLeaving("agent-1", 1, "platform"))
        self.heard()
        self.hosts = {"host-agent-1": HostState.LIVE}
        self.assertEqual(self.commands(10), [RegisterNode(node_info("agent-1"), 1, 5_000)])

    def test_a_lost_node_that_is_heard_again_is_back(self):
        self.driver.add_agent("agent-1")
        self.driver.apply(NodeLost("agent-1", 1, 1, False))
        self.heard(now_ms=50.0)
        self.driver.apply(self.commands(60)[0])
        self.assertFalse(self.driver.state.nodes.record_by_id["agent-1"].lost)

    def test_an_agent_that_was_given_up_comes_back_only_as_a_newer_incarnation(self):
        self.driver.add_agent("agent-1")
        self.driver.apply(NodeLost("agent-1", 1, 1, True))
        self.heard(sequence=2)
        self.assertEqual(self.commands(10), [])
        self.heard(incarnation=2)
        self.driver.apply(self.commands(10)[0])
        record = self.driver.state.nodes.record_by_id["agent-1"]
        self.assertEqual((record.incarnation, record.gone, record.inventoried), (2, False, False))

    def test_an_older_incarnations_late_heartbeat_is_passed_over(self):
        self.heard(incarnation=2)
        self.heard(now_ms=500.0, incarnation=1, sequence=9)
        self.assertEqual(self.beats.heard_by_id["agent-1"].incarnation, 2)
        self.assertEqual(self.beats.heard_by_id["agent-1"].heard_ms, 0.0)

    def test_a_digest_brings_the_age_along(self):
        self.heard(now_ms=100.0)
        there = Beats()
        for item in self.beats.take_digest(400.0):
            there.record(item, 1_000.0)
        self.assertEqual(there.heard_by_id["agent-1"].heard_ms, 700.0)
        self.assertEqual(self.beats.take_digest(500.0), [])


class Replicator:
    """Hear the leader."""

    is_leader = False
    last_leader_contact_s = 0.0


class LeaderContactTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.contact = LeaderContact(settings(), Replicator(), lambda: self.now_ms)

    def test_hearing_the_leader_is_not_being_heard(self):
        self.assertFalse(self.contact.fresh)
        self.contact.next_sequence()
        self.assertFalse(self.contact.fresh)

    def test_an_answer_counts_from_when_its_digest_was_sent(self):
        first = self.contact.next_sequence()
        self.now_ms = 2 * settings().control.election_ms
        self.contact.acknowledged(first)
        self.assertTrue(self.contact.fresh)
        self.now_ms += 1
        self.assertFalse(self.contact.fresh)


class SilenceClockTest(unittest.TestCase):
    def test_a_stopped_process_or_a_clock_set_anew_makes_nobody_silent(self):
        clock = Clock()
        silence = SilenceClock(clock)
        clock.advance(3_600)
        self.assertEqual(silence.now_ms(), 1_000)
        clock.rightNow -= 7_200
        self.assertEqual(silence.now_ms(), 1_000)


class ListPage(Resource):
    isLeaf = True  # noqa: N815 - Twisted's name
    body = b""

    def render_GET(self, request):
        return self.body


class PlatformListTest(trial_unittest.TestCase):
    timeout = 240

    def test_a_list_is_read_and_a_bad_one_drops_the_last(self):
        page = ListPage()
        page.body = json.dumps({"hosts": [{"host": "h1", "state": "leaving"}]}).encode()
        port = reactor.listenTCP(0, Site(page), interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        url = f"http://127.0.0.1:{port.getHost().port}/hosts"
        extra = f"[membership]\nplatform_list = {url}\nplatform_poll_ms = 100"
        platform = PlatformList(reactor, settings(extra=extra), lambda: True)
        platform.start()
        self.addCleanup(platform.stop)

        def wait(expected):
            if platform.state_by_host == expected:
                return None
            return deferLater(reactor, 0.02).addCallback(lambda _: wait(expected))

        def break_it(_):
            page.body = b"<html>"
            return wait({})

        return wait({"h1": HostState.LEAVING}).addCallback(break_it)


if __name__ == "__main__":
    unittest.main()
