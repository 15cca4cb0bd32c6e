"""Test the detection of live, leaving and lost nodes."""

import json
import unittest

from support import StateDriver, node_info, settings
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import Clock, deferLater
from twisted.trial import unittest as trial_unittest
from twisted.web.resource import Resource
from twisted.web.server import Site

from hemlockdock_control.membership import (
    HeartbeatTable,
    HostState,
    NodeHeartbeat,
    PlatformList,
    SilenceClock,
    membership_commands,
)
from hemlockdock_control.membership.detector import MembershipView
from hemlockdock_control.membership.platform_list import LIST_TIMEOUT_S, MAX_LIST_BYTES
from hemlockdock_control.service.leader_contact import LeaderContact
from hemlockdock_core.commands import NodeLeaving, NodeLost, RegisterNode
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_standins.endless_peer import EndlessPeer

MEMBERSHIP = settings().membership
LOST_MS = MEMBERSHIP.lost_after_ms
# Another member may have acknowledged an agent after the leader last heard of it.
CERTAIN_MS = MEMBERSHIP.certain_after_ms + LOST_MS


def heartbeat(node_id="agent-1", incarnation=1, sequence=1, leaving=False, info=True):
    """Return a heartbeat."""
    info = node_info(node_id) if info else None
    return NodeHeartbeat(node_id, incarnation, sequence, 0, 0, leaving, info, [])


class DetectorTest(unittest.TestCase):
    def setUp(self):
        self.driver = StateDriver()
        self.heartbeats = HeartbeatTable()
        self.hosts = {}
        self.silent_members = set()

    def commands(self, now_ms, leading_since_ms=0.0):
        view = MembershipView(
            self.driver.state.nodes.record_by_id,
            self.heartbeats.heard_by_id,
            self.hosts,
            leading_since_ms,
            self.silent_members,
            now_ms,
            5_000,
        )
        return membership_commands(view, MEMBERSHIP)

    def heard(self, now_ms=0.0, **fields):
        self.heartbeats.record(heartbeat(**fields), now_ms)

    def test_first_heartbeat_registers_the_node(self):
        self.heard()
        self.assertEqual(self.commands(10), [RegisterNode(node_info("agent-1"), 1, 5_000)])

    def test_silent_node_is_lost_first_and_certainly_lost_later(self):
        self.driver.add_agent("agent-1")
        self.heard()
        self.assertEqual(self.commands(LOST_MS - 1), [])
        lost = NodeLost("agent-1", 1, 5_000, False)
        self.assertEqual(self.commands(LOST_MS), [lost])
        self.driver.apply(lost)
        self.assertEqual(self.commands(CERTAIN_MS - 1), [])
        self.assertEqual(self.commands(CERTAIN_MS), [NodeLost("agent-1", 1, 5_000, True)])

    def test_nodes_of_a_lost_member_get_time_to_switch_members(self):
        self.driver.add_agent("agent-1")
        self.heartbeats.record(heartbeat(), 0.0, relayed_by="control-2")
        lost = [NodeLost("agent-1", 1, 5_000, False)]
        self.assertEqual(self.commands(LOST_MS), lost)
        self.silent_members = {"control-2"}
        self.assertEqual(self.commands(LOST_MS), [])
        self.assertEqual(self.commands(LOST_MS + 6 * MEMBERSHIP.heartbeat_ms), lost)

    def test_new_leader_counts_silence_from_its_election(self):
        self.driver.add_agent("agent-1")
        self.assertEqual(self.commands(100_000, leading_since_ms=100_000 - LOST_MS + 1), [])

    def test_platform_list_confirms_a_loss_but_does_not_overrule_heartbeats(self):
        self.driver.add_agent("agent-1")
        self.heard()
        self.hosts = {"host-agent-1": HostState.GONE}
        self.assertEqual(self.commands(10), [NodeLeaving("agent-1", 5_000, "platform")])
        self.assertEqual(self.commands(LOST_MS), [NodeLost("agent-1", 1, 5_000, True)])

    def test_node_that_announces_leaving_is_not_lost(self):
        self.driver.add_agent("agent-1")
        self.heard(leaving=True)
        self.assertEqual(self.commands(10), [NodeLeaving("agent-1", 5_000, "agent")])

    def test_node_of_a_host_that_is_live_again_is_registered_again(self):
        self.driver.add_agent("agent-1")
        self.driver.apply(NodeLeaving("agent-1", 1, "platform"))
        self.heard()
        self.hosts = {"host-agent-1": HostState.LIVE}
        self.assertEqual(self.commands(10), [RegisterNode(node_info("agent-1"), 1, 5_000)])

    def test_lost_node_that_is_heard_again_is_no_longer_lost(self):
        self.driver.add_agent("agent-1")
        self.driver.apply(NodeLost("agent-1", 1, 1, False))
        self.heard(now_ms=50.0)
        self.driver.apply(self.commands(60)[0])
        self.assertFalse(self.driver.state.nodes.record_by_id["agent-1"].lost)

    def test_certainly_lost_agent_returns_only_as_a_newer_incarnation(self):
        self.driver.add_agent("agent-1")
        self.driver.apply(NodeLost("agent-1", 1, 1, True))
        self.heard(sequence=2)
        self.assertEqual(self.commands(10), [])
        self.heard(incarnation=2)
        self.driver.apply(self.commands(10)[0])
        record = self.driver.state.nodes.record_by_id["agent-1"]
        self.assertEqual((record.incarnation, record.gone, record.inventoried), (2, False, False))

    def test_late_heartbeat_of_an_older_incarnation_is_ignored(self):
        self.heard(incarnation=2)
        self.heard(now_ms=500.0, incarnation=1, sequence=9)
        self.assertEqual(self.heartbeats.heard_by_id["agent-1"].incarnation, 2)
        self.assertEqual(self.heartbeats.heard_by_id["agent-1"].heard_ms, 0.0)

    def test_digest_carries_the_age_of_heartbeats(self):
        self.heard(now_ms=100.0)
        leader_table = HeartbeatTable()
        for item in self.heartbeats.take_digest(400.0):
            leader_table.record(item, 1_000.0)
        self.assertEqual(leader_table.heard_by_id["agent-1"].heard_ms, 700.0)
        self.assertEqual(self.heartbeats.take_digest(500.0), [])


class Replicator:
    """Act as a follower that receives messages from the leader."""

    is_leader = False
    last_leader_contact_s = 0.0


class LeaderContactTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.leader_contact = LeaderContact(settings(), Replicator(), lambda: self.now_ms)

    def test_contact_is_not_fresh_without_an_acknowledged_digest(self):
        self.assertFalse(self.leader_contact.fresh)
        self.leader_contact.next_sequence()
        self.assertFalse(self.leader_contact.fresh)

    def test_acknowledgement_counts_from_when_its_digest_was_sent(self):
        first_sequence = self.leader_contact.next_sequence()
        self.now_ms = 2 * settings().control.election_ms
        self.leader_contact.record_ack(first_sequence)
        self.assertTrue(self.leader_contact.fresh)
        self.now_ms += 1
        self.assertFalse(self.leader_contact.fresh)


class SilenceClockTest(unittest.TestCase):
    def test_process_pauses_and_clock_changes_add_at_most_one_step(self):
        clock = Clock()
        silence_clock = SilenceClock(clock)
        clock.advance(3_600)
        self.assertEqual(silence_clock.now_ms(), 1_000)
        clock.rightNow -= 7_200
        self.assertEqual(silence_clock.now_ms(), 1_000)


class ListPage(Resource):
    isLeaf = True  # noqa: N815 - Twisted's name
    body = b""

    def render_GET(self, request):
        return self.body


class PlatformListTest(trial_unittest.TestCase):
    timeout = 240

    def test_list_is_read_and_discarded_when_the_next_one_is_invalid(self):
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

        def send_invalid_list(_):
            page.body = b"<html>"
            return wait({})

        return wait({"h1": HostState.LEAVING}).addCallback(send_invalid_list)

    @inlineCallbacks
    def test_a_list_without_end_fills_the_memory_of_the_leader(self):
        # Guards against a platform whose bytes are kept until its answer ends.
        ok = b"HTTP/1.1 200 OK\r\n"
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        kinds = ((ok, b"X-A: 1\r\n"), (interim + ok, b"X-A: 1\r\n"), (ok + b"\r\n", b"z" * 1_000))
        for begin, part in kinds:
            peer = EndlessPeer(reactor, begin, part, 20 * MAX_LIST_BYTES)
            url = f"http://{peer.address}/hosts"
            extra = f"[membership]\nplatform_list = {url}\nplatform_poll_ms = 60000"
            platform = PlatformList(reactor, settings(extra=extra), lambda: True)
            failures = COUNTERS.value("platform_list_failures")
            platform.start()
            while COUNTERS.value("platform_list_failures") == failures:
                yield deferLater(reactor, 0.02)
            platform.stop()
            yield peer.stop()
            # The list's limit, and what the kernel holds for a connection.
            self.assertLess(peer.sent_bytes, 5 * MAX_LIST_BYTES)

    @inlineCallbacks
    def test_a_list_that_stalls_in_its_body_is_never_read_again(self):
        # Guards against a time limit that ends with the head of the answer.
        peer = EndlessPeer(reactor, b"HTTP/1.1 200 OK\r\n\r\n{", b" ", 1)
        self.addCleanup(peer.stop)
        url = f"http://{peer.address}/hosts"
        extra = f"[membership]\nplatform_list = {url}\nplatform_poll_ms = 60000"
        platform = PlatformList(reactor, settings(extra=extra), lambda: True)
        failures = COUNTERS.value("platform_list_failures")
        platform.start()
        self.addCleanup(platform.stop)
        yield deferLater(reactor, 1.5 * LIST_TIMEOUT_S)
        self.assertEqual(COUNTERS.value("platform_list_failures"), failures + 1)


if __name__ == "__main__":
    unittest.main()
