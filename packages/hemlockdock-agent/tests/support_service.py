"""An agent over sockets with a stand-in engine, a fake control and fake entries."""

import json
from collections import defaultdict

from support import dispatch, settings
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.trial import unittest as trial_unittest

from hemlockdock_agent.service import AgentService
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import (
    NODE_CODEC,
    AnswerChunk,
    Heartbeat,
    HeartbeatAck,
    Inventory,
    Leaving,
    LoadOrder,
    OrderOutcome,
    OrderResult,
    TableChunk,
    UnloadOrder,
    WatchTable,
)
from hemlockdock_core.rows import ModelRow, NodeRow, ReplicaRow, ReplicaState
from hemlockdock_standins.engine import EngineOptions, StandInEngine

WAIT_S = 240
POLL_S = 0.01
UNLOAD_FENCE = 1_000
ANY_ADDRESS = "tcp://127.0.0.1:0"


class FakeControl:
    """Acknowledge heartbeats, send a table, and record the agent's reports."""

    def __init__(self):
        self.transport = MessageTransport(
            reactor, "c1", 1, NODE_CODEC, ANY_ADDRESS, self.handle_frame
        )
        self.rows = []
        self.revision = 10
        self.silent = False
        self.agent = None
        self.received = defaultdict(list)
        self.incarnations = []

    def handle_frame(self, frame):
        """Record and answer one frame."""
        if self.silent:
            return
        self.agent = frame.reply_to
        self.received[type(frame.body)].append(frame.body)
        if isinstance(frame.body, Heartbeat):
            if frame.incarnation not in self.incarnations:
                self.incarnations.append(frame.incarnation)
            if frame.body.leaving:
                self.unload_all(frame)
            acknowledgement = HeartbeatAck(frame.body.sequence, self.revision, True, True)
            self.transport.send(frame.reply_to, acknowledgement)
        if isinstance(frame.body, WatchTable):
            self.send_table()
        if isinstance(frame.body, Inventory):
            self.remove_lost_replicas({item.replica_id for item in frame.body.loaded})

    def unload_all(self, frame):
        """Order a leaving agent to unload all replicas."""
        for row in self.rows:
            if isinstance(row, ReplicaRow):
                order = UnloadOrder(row.replica_id, UNLOAD_FENCE, frame.incarnation)
                self.transport.send(frame.reply_to, order)

    def remove_lost_replicas(self, loaded_ids):
        """Delete the rows of replicas that an inventory no longer lists."""
        kept = [
            row
            for row in self.rows
            if not isinstance(row, ReplicaRow) or row.replica_id in loaded_ids
        ]
        if kept != self.rows:
            self.change(*kept)

    def send_table(self):
        """Send the whole table."""
        self.transport.send(self.agent, TableChunk(1, self.revision, 0, 1, self.rows))

    def change(self, *rows):
        """Replace the table's rows."""
        self.rows = list(rows)
        self.revision += 1
        self.send_table()


class FakeEntry:
    """Dispatch requests and record the frames of each attempt."""

    def __init__(self, node_id):
        self.transport = MessageTransport(
            reactor, node_id, 1, NODE_CODEC, ANY_ADDRESS, self.handle_frame
        )
        self.frames = defaultdict(list)
        self.leaving = []

    def handle_frame(self, frame):
        """Record one frame."""
        if isinstance(frame.body, Leaving):
            self.leaving.append(frame.body)
            return
        self.frames[frame.body.request_id, frame.body.attempt].append(frame.body)

    def body(self, key, offset=0):
        """Return the bytes of an attempt, and check that its chunks are contiguous."""
        read = b""
        for frame in self.frames[key]:
            if isinstance(frame, AnswerChunk):
                assert frame.offset == offset + len(read)
                read += frame.data
        return read

    def last(self, key, kind):
        """Return the last frame of an attempt if it is of a given type."""
        frames = self.frames[key]
        return frames[-1] if frames and isinstance(frames[-1], kind) else None


class AgentServiceTestCase(trial_unittest.TestCase):
    """One agent with its engine, a control and an entry."""

    timeout = WAIT_S

    @inlineCallbacks
    def setUp(self):
        self.engine = StandInEngine(reactor, EngineOptions(token_ms=4.0, restart_ms=50.0))
        yield self.engine.start()
        self.addCleanup(self.engine.stop)
        self.control = FakeControl()
        self.addCleanup(self.control.transport.close)
        self.entry = self.open_entry("entry-1")
        address = self.control.transport.address.removeprefix("tcp://")
        self.settings = settings(engine_url=self.engine.url, control=address, poll_ms=50)
        self.agent = AgentService(reactor, self.settings)
        yield self.agent.start()
        self.addCleanup(self.agent.stop)
        yield self.until(lambda: self.control.received[Inventory])

    def open_entry(self, node_id):
        entry = FakeEntry(node_id)
        self.addCleanup(entry.transport.close)
        return entry

    @inlineCallbacks
    def until(self, condition):
        while not condition():
            yield deferLater(reactor, POLL_S, lambda: None)

    def order(self, order):
        self.control.transport.send(self.agent.node_address, order)

    def result(self, fence):
        for result in self.control.received[OrderResult]:
            if result.fence == fence:
                return result.outcome
        return None

    @inlineCallbacks
    def load(self):
        self.order(LoadOrder("r1", 5, "m", "v", 50, 4, 0, self.control.incarnations[-1]))
        yield self.until(lambda: self.result(5))
        self.assertEqual(self.result(5), OrderOutcome.DONE)
        self.show_replica(ReplicaState.READY)
        yield self.until(lambda: self.agent.session.link.table.revision == self.control.revision)

    def show_replica(self, state):
        address = self.entry.transport.address
        self.control.change(
            NodeRow("entry-1", "entry", "h", "d", address, 1, False, False),
            ModelRow("m", "v", "live", 50, 1, 4, 100),
            ReplicaRow("r1", "m", "v", "agent-1", state, 5, [], 4),
        )

    def send(self, request_id, count=20, marker="", attempt=1, streaming=True, **changes):
        asked = {"model": "m", "max_tokens": count, "stream": streaming, "prompt": marker}
        body = json.dumps(asked).encode()
        message = dispatch(
            request_id, attempt, body=body, streaming=streaming, table_revision=99, **changes
        )
        self.entry.transport.send(self.agent.node_address, message)
        return body
