"""Test the table feed over links that lose frames, with members that lag and restart."""

import unittest

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from support import StateDriver, fuzz, node_info, settings, submission

from hemlockdock_control.hub import TableFeed
from hemlockdock_control.hub.watcher import REPEAT_MS
from hemlockdock_control.state import ClusterState
from hemlockdock_core.commands import NodeLost, RegisterNode
from hemlockdock_core.messages import TableChunk, TableDelta, WatchTable
from hemlockdock_core.node.table_copy import TableCopy

MEMBERS = ("control-1", "control-2")
WATCHERS = ("tcp://127.0.0.1:1", "tcp://127.0.0.1:2", "tcp://127.0.0.1:3")
members = st.sampled_from(MEMBERS)
watchers = st.sampled_from(WATCHERS)
decode = msgspec.msgpack.Decoder(TableChunk | TableDelta).decode


class FeedFuzz(RuleBasedStateMachine):
    """Compare each watcher's copy with the history of whole tables."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.state_by_member = {name: ClusterState(settings()) for name in MEMBERS}
        self.rows_by_revision = {0: {}}
        self.frames = []
        self.feed_by_member = {name: TableFeed(self.keep) for name in MEMBERS}
        self.copy_by_watcher = {address: TableCopy() for address in WATCHERS}
        self.now_ms = 0.0
        self.change(1, "register")
        for member in MEMBERS:
            self.catch_up(member)

    def keep(self, address, frame):
        self.frames.append((address, bytes(frame)))

    @rule(number=st.integers(1, 4), what=st.sampled_from(("register", "lose", "manifest")))
    def change(self, number, what):
        node_id = f"entry-{number}"
        index = len(self.log) + 1
        command = {
            "register": RegisterNode(node_info(node_id, "entry"), index, 1),
            "lose": NodeLost(node_id, index - 1, 1, False),
            "manifest": submission(index, models=("m1", "m2")[: number % 2 + 1]),
        }[what]
        self.log.append(command)

    @rule(member=members)
    def catch_up(self, member):
        state = self.state_by_member[member]
        while state.index < len(self.log):
            state.apply(state.index + 1, self.log[state.index])
            changes = state.changes
            self.rows_by_revision[changes.revision] = dict(changes.row_by_key)

    @rule(member=members)
    def restart(self, member):
        restored = ClusterState(settings())
        restored.restore(self.state_by_member[member].snapshot())
        self.state_by_member[member] = restored
        self.feed_by_member[member] = TableFeed(self.keep)

    @rule(member=members)
    def push(self, member):
        state = self.state_by_member[member]
        self.feed_by_member[member].push(state.epoch, state.changes)

    @rule(member=members, address=watchers)
    def ask(self, member, address):
        self.now_ms += REPEAT_MS / 4
        for name, feed in self.feed_by_member.items():
            if name != member:
                feed.watcher_by_address.pop(address, None)
        position = self.copy_by_watcher[address].position
        self.feed_by_member[member].watch("entry", address, WatchTable(*position), self.now_ms)
        self.push(member)

    @rule(data=st.data(), lost=st.booleans())
    def deliver(self, data, lost):
        if not self.frames:
            return
        address, frame = self.frames.pop(data.draw(st.integers(0, len(self.frames) - 1)))
        if not lost:
            self.take(address, frame)

    def take(self, address, frame):
        copy = self.copy_by_watcher[address]
        before = copy.position
        body = decode(frame)
        if isinstance(body, TableChunk):
            copy.take_chunk(body)
            in_order = True
        else:
            in_order = copy.take_delta(body) is not None
        assert copy.position >= before
        rows = {row.key: row for row in copy.table.rows()}
        assert rows == self.rows_by_revision[copy.table.revision]
        return in_order

    def teardown(self):
        """Once nothing is lost any more, each watcher ends up with the whole table."""
        self.frames.clear()
        self.feed_by_member = {name: TableFeed(self.keep) for name in MEMBERS}
        for address in WATCHERS:
            self.catch_up(MEMBERS[0])
            self.ask(MEMBERS[0], address)
        self.change(1, "register")
        self.catch_up(MEMBERS[0])
        self.push(MEMBERS[0])
        for address, frame in self.frames:
            assert self.take(address, frame), "a gap without a loss"
        rows = self.state_by_member[MEMBERS[0]].changes.row_by_key
        for copy in self.copy_by_watcher.values():
            assert {row.key: row for row in copy.table.rows()} == rows


class WatcherTest(unittest.TestCase):
    def test_watchers_at_one_revision_share_one_encoding(self):
        driver = StateDriver()
        driver.apply(submission(1))
        sent = []
        feed = TableFeed(lambda address, frame: sent.append(frame))
        for number in range(300):
            feed.watch("n", f"tcp://127.0.0.1:{number}", WatchTable(0, 0), 0.0)
        feed.push(driver.state.epoch, driver.state.changes)
        driver.apply(submission(2, models=("m1", "m2")))
        feed.push(driver.state.epoch, driver.state.changes)
        self.assertEqual(len(sent), 600)
        self.assertEqual(len({id(frame) for frame in sent}), 2)

    def test_a_watcher_ahead_of_this_member_is_sent_nothing(self):
        driver = StateDriver()
        driver.apply(submission(1))
        sent = []
        feed = TableFeed(lambda address, frame: sent.append(frame))
        state = driver.state
        ahead = WatchTable(state.epoch, state.changes.revision + 1)
        feed.watch("n", "tcp://127.0.0.1:1", ahead, 0.0)
        feed.push(state.epoch, state.changes)
        self.assertEqual(sent, [])

    def test_a_duplicate_request_is_not_answered_again(self):
        driver = StateDriver()
        driver.apply(submission(1))
        sent = []
        feed = TableFeed(lambda address, frame: sent.append(frame))
        for now_ms in (0.0, 100.0, 200.0, REPEAT_MS):
            feed.watch("n", "tcp://127.0.0.1:1", WatchTable(0, 0), now_ms)
            feed.push(driver.state.epoch, driver.state.changes)
        self.assertEqual(len(sent), 2)


FeedFuzzTest = fuzz(FeedFuzz, 80, 40)

if __name__ == "__main__":
    unittest.main()
