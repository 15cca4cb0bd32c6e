"""Test the connection of a node to control."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from hemlockdock_core.commands import CommandResult, ReadJob
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import (
    Frame,
    Heartbeat,
    HeartbeatAck,
    ModelTraffic,
    NodeInfo,
    Proposal,
    ProposalResult,
    TableChunk,
    TableDelta,
    WatchTable,
)
from hemlockdock_core.node import ControlLink, ControlUnavailableError, LoadCounts, TableCopy
from hemlockdock_core.rows import AdapterRow
from hemlockdock_core.settings import parse_settings

TEXT = """
[process]
node_id = entry-1
roles = entry
host = host-1
failure_domain = domain-a
[control]
members = c1@tcp://127.0.0.1:1@tcp://127.0.0.1:2, c2@tcp://127.0.0.1:3@tcp://127.0.0.1:4
"""


class RecordingTransport:
    """A transport that records messages instead of sending them."""

    incarnation = 7

    def __init__(self):
        self.sent = []

    def disconnect(self, address):
        """Do nothing: there are no connections."""

    def send(self, address, message):
        """Record a message."""
        self.sent.append((address, message))

    def sent_of_type(self, kind):
        """Return the recorded (address, message) pairs of a message type."""
        return [pair for pair in self.sent if isinstance(pair[1], kind)]


class ControlLinkTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.transport = RecordingTransport()
        info = NodeInfo("entry-1", "entry", "host-1", "domain-a", "tcp://127.0.0.1:9")
        self.link = ControlLink(self.clock, parse_settings(TEXT, "t"), self.transport, info)
        self.link.start()

    def receive(self, body):
        member = self.link._member_selector.current.member_id
        return self.link.handle(Frame(1, member, 1, "", body))

    def test_a_silent_member_is_replaced_and_proposals_go_to_the_next(self):
        first = self.transport.sent[0][0]
        self.link.propose(ReadJob("j", "c"), 60_000)
        self.clock.pump([0.5] * 5)
        addresses = {address for address, _ in self.transport.sent_of_type(Proposal)}
        self.assertEqual(len(addresses), 2)
        self.assertNotEqual(self.transport.sent_of_type(Heartbeat)[-1][0], first)

    def test_an_unanswered_proposal_fails_as_unknown_after_its_timeout(self):
        deferred = self.link.propose(ReadJob("j", "c"), 1_000)
        no_leader = CommandResult(0, Refusal.of(ErrorKind.NO_CONTROL, "no leader"))
        proposal = self.transport.sent_of_type(Proposal)[0][1]
        self.receive(ProposalResult(proposal.proposal_id, no_leader))
        failures = []
        deferred.addErrback(failures.append)
        self.clock.pump([0.1] * 9)
        self.assertEqual(failures, [])
        self.clock.pump([0.1] * 3)
        self.assertTrue(failures[0].check(ControlUnavailableError))

    def test_freshness_ends_when_control_has_no_leader(self):
        self.receive(HeartbeatAck(1, 0, True, True))
        self.assertTrue(self.link.fresh)
        for _ in range(11):
            self.clock.advance(1.0)
            self.receive(HeartbeatAck(1, 0, True, False))
        self.assertFalse(self.link.fresh)

    def test_freshness_counts_from_when_the_heartbeat_was_sent(self):
        self.clock.pump([0.5] * 20)
        self.receive(HeartbeatAck(1, 0, True, True))
        self.assertGreaterEqual(self.link.seconds_since_heartbeat, 10.0)
        self.receive(
            HeartbeatAck(self.transport.sent_of_type(Heartbeat)[-1][1].sequence, 0, True, True)
        )
        self.assertLess(self.link.seconds_since_heartbeat, 0.5)
        self.clock.advance(30.0)
        self.receive(HeartbeatAck(1, 0, True, True))
        self.assertFalse(self.link.fresh)

    def test_permits_can_be_asked_for_while_a_leader_answers(self):
        self.receive(HeartbeatAck(1, 0, True, True, entries=5))
        self.assertFalse(self.link.leader_answers_within(3.5))
        self.clock.advance(0.5)
        sequence = self.transport.sent_of_type(Heartbeat)[-1][1].sequence
        self.receive(HeartbeatAck(sequence, 0, True, True, entries=5, issues_permits=True))
        self.assertTrue(self.link.leader_answers_within(3.5))
        for _ in range(8):
            self.clock.advance(0.5)
            self.receive(HeartbeatAck(sequence, 0, True, True))
        self.assertFalse(self.link.leader_answers_within(3.5))

    def test_the_number_of_entries_is_not_assumed_where_it_must_be_known(self):
        self.assertEqual((self.link.entries, self.link.reported_entries), (8, 0))
        self.receive(HeartbeatAck(1, 0, True, True, entries=5))
        self.assertEqual((self.link.entries, self.link.reported_entries), (8, 5))

    def test_a_gap_in_the_table_requests_the_missing_changes(self):
        self.receive(TableChunk(1, 5, 0, 1, [AdapterRow("a", "m")]))
        before = len(self.transport.sent_of_type(WatchTable))
        self.receive(TableDelta(1, 7, 8, [AdapterRow("b", "m")], []))
        self.assertEqual(self.transport.sent_of_type(WatchTable)[before:][0][1], WatchTable(1, 5))
        self.receive(TableDelta(1, 5, 8, [AdapterRow("b", "m")], ["adapter/a"]))
        self.assertEqual(set(self.link.table.adapter_by_name), {"b"})

    def test_node_info_is_sent_until_control_knows_it(self):
        self.clock.advance(0.5)
        self.assertIsNotNone(self.transport.sent_of_type(Heartbeat)[-1][1].info)
        self.receive(HeartbeatAck(1, 0, True, True))
        self.clock.advance(0.5)
        self.assertIsNone(self.transport.sent_of_type(Heartbeat)[-1][1].info)


class LoadCountsTest(unittest.TestCase):
    def test_only_changed_loads_are_returned(self):
        counts = LoadCounts()
        counts.count_arrival("m")
        counts.count_start("m")
        self.assertEqual(counts.changed_loads({}), [ModelTraffic("m", 1, 0, 1)])
        self.assertEqual(counts.changed_loads({}), [])
        counts.count_end("m")
        self.assertEqual(counts.changed_loads({"m": 2}), [ModelTraffic("m", 1, 2, 0)])


class TableCopyTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(st.data())
    def test_any_order_of_messages_gives_a_state_that_was_once_true(self, data):
        """Deliver whole tables and deltas late, twice and out of order against a history."""
        history = [{}]
        for revision in range(1, 12):
            rows = dict(history[-1])
            name = data.draw(st.sampled_from("abcd"))
            if name in rows and data.draw(st.booleans()):
                del rows[name]
            else:
                rows[name] = AdapterRow(name, f"m{revision}")
            history.append(rows)
        copy = TableCopy()
        last = 0
        for _ in range(30):
            start, end = sorted(data.draw(st.tuples(st.integers(0, 11), st.integers(1, 11))))
            if data.draw(st.booleans()):
                rows = list(history[end].values())
                half = len(rows) // 2
                for index in data.draw(st.permutations([0, 1])):
                    part = rows[:half] if index == 0 else rows[half:]
                    copy.take_chunk(TableChunk(1, end, index, 2, part))
            else:
                old, new = history[start], history[end]
                puts = [row for name, row in new.items() if old.get(name) != row]
                deletes = [f"adapter/{name}" for name in old if name not in new]
                copy.take_delta(TableDelta(1, start, end, puts, deletes))
            revision = copy.table.revision
            self.assertGreaterEqual(revision, last)
            self.assertEqual(copy.table.adapter_by_name, history[revision])
            last = revision


if __name__ == "__main__":
    unittest.main()
