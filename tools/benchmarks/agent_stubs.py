"""Stubs of control and of an entry for benchmarks of one agent."""

import json

from twisted.internet.defer import Deferred

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import (
    NODE_CODEC,
    AnswerChunk,
    AnswerEnd,
    Dispatch,
    Heartbeat,
    HeartbeatAck,
    Inventory,
    LoadOrder,
    OrderResult,
    Refused,
    TableChunk,
    WatchTable,
)
from hemlockdock_core.rows import ReplicaRow, ReplicaState

ANY_ADDRESS = "tcp://127.0.0.1:0"
MAX_REQUESTS = 1_000
DEADLINE_MS = 600_000
REVISION = 10


class StubControl:
    """Control stub that acknowledges heartbeats and orders the agent to load one model.

    Parameters
    ----------
    reactor : twisted reactor

    Attributes
    ----------
    address : str
    agent_address : str
        Address of the agent that sent the last frame; empty before the first.
    """

    def __init__(self, reactor):
        self._transport = MessageTransport(
            reactor, "c1", 1, NODE_CODEC, ANY_ADDRESS, self._handle_frame
        )
        self._loaded = Deferred()
        self._load_ordered = False
        self.address = self._transport.address
        self.agent_address = ""

    def close(self):
        """Close the transport."""
        self._transport.close()

    def wait_until_loaded(self):
        """Return a Deferred that fires when the agent has loaded replica r1.

        Returns
        -------
        Deferred
        """
        return self._loaded

    def _handle_frame(self, frame):
        self.agent_address = frame.reply_to
        body = frame.body
        if isinstance(body, Heartbeat):
            self._send(HeartbeatAck(body.sequence, REVISION, True, True))
        if isinstance(body, WatchTable):
            row = ReplicaRow("r1", "m", "v", "agent-1", ReplicaState.READY, 5, [], MAX_REQUESTS)
            self._send(TableChunk(1, REVISION, 0, 1, [row]))
        if isinstance(body, Inventory) and not self._load_ordered:
            self._load_ordered = True
            self._send(LoadOrder("r1", 5, "m", "v", 50, MAX_REQUESTS, 0, frame.incarnation))
        if isinstance(body, OrderResult) and not self._loaded.called:
            self._loaded.callback(None)

    def _send(self, message):
        self._transport.send(self.agent_address, message)


class StubEntry:
    """Entry stub that dispatches requests and counts the answer chunks.

    Parameters
    ----------
    reactor : twisted reactor
    """

    def __init__(self, reactor):
        self._transport = MessageTransport(
            reactor, "entry-1", 1, NODE_CODEC, ANY_ADDRESS, self._handle_frame
        )
        self._unfinished = 0
        self._chunks = 0
        self._done = None

    def close(self):
        """Close the transport."""
        self._transport.close()

    def run(self, agent_address, name, requests, tokens, streaming):
        """Dispatch requests concurrently.

        Parameters
        ----------
        agent_address, name : str
        requests, tokens : int
        streaming : bool

        Returns
        -------
        Deferred of int
            Fires with the number of chunks when all answers are complete.
        """
        self._unfinished = requests
        self._chunks = 0
        self._done = Deferred()
        parameters = {"model": "m", "max_tokens": tokens, "stream": streaming}
        body = json.dumps(parameters).encode()
        for index in range(requests):
            dispatch = Dispatch(
                request_id=f"{name}-{index}",
                attempt=1,
                model="m",
                adapter="",
                replica_id="r1",
                table_revision=REVISION,
                path="/v1/chat/completions",
                body=body,
                deadline_ms=DEADLINE_MS,
                streaming=streaming,
                priority=50,
                fingerprint="f",
                run_once=False,
                resumable=streaming,
            )
            self._transport.send(agent_address, dispatch)
        return self._done

    def _handle_frame(self, frame):
        if isinstance(frame.body, AnswerChunk):
            self._chunks += 1
        if isinstance(frame.body, Refused):
            self._done.errback(RuntimeError(frame.body.refusal.message))
        if not isinstance(frame.body, AnswerEnd):
            return
        self._unfinished -= 1
        if not self._unfinished:
            self._done.callback(self._chunks)
