"""Provide test doubles: a routing table, a control link, an agent and replies."""

import hashlib
import random

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from hemlockdock_core.commands import (
    ClaimJob,
    ClaimRun,
    CommandResult,
    FinishJob,
    FinishRun,
    ReadJob,
    RunState,
    SubmitJob,
)
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import (
    NODE_CODEC,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Cancel,
    Dispatch,
    Refused,
    Resume,
)
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_core.rows import (
    AdapterRow,
    ClassRow,
    ModelRow,
    NodeRow,
    ReplicaRow,
    ReplicaState,
    RoutingTable,
)
from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.intake import Request
from hemlockdock_entry.tasks.coordinator import RequestCoordinator

SETTINGS = """
[process]
node_id = entry-1
roles = entry
host = host-1
failure_domain = a
[control]
members = c1@tcp://127.0.0.1:1@tcp://127.0.0.1:2
"""
CLASSES = (
    ClassRow("live", "live", 2_000, True, 60, 3_600),
    ClassRow("short", "short", 4_000, True, 50, 3_600),
    ClassRow("once", "once", 8_000, False, 50, 3_600),
    ClassRow("job", "job", 60_000, True, 10, 3_600),
    ClassRow("lookup", "lookup", 500, True, 70, 3_600),
)


def settings(extra=""):
    """Return the settings of an entry, followed by extra INI text."""
    return parse_settings(SETTINGS + extra, "test")


def table(model="m", load_ms=1_000, slots=4):
    """Return a routing table with all request classes and one model without replicas."""
    routing = RoutingTable()
    routing.revision = 1
    for row in CLASSES:
        routing.put(row)
    routing.put(ModelRow(model, "v1", "short", 50, 4, slots, load_ms))
    routing.put(AdapterRow(f"{model}-adapter", model))
    return routing


def add_replica(routing, node_id, address="tcp://127.0.0.1:9", model="m", slots=4, domain="a"):
    """Add an agent with one ready replica to a routing table and return the replica's row."""
    routing.put(NodeRow(node_id, "agent", node_id, domain, address, 1, False, False))
    row = ReplicaRow(f"r-{node_id}", model, "v1", node_id, ReplicaState.READY, 1, [], slots)
    routing.put(row)
    return row


class FakeLink:
    """Fake of the link to control, backed by in-memory run-once records.

    The mode says how proposals are answered: "prompt", "late" (once ``answer_late`` is called),
    "answer lost" (applied, but fails) or "unreachable" (fails and is not applied).
    """

    def __init__(self, routing, records=None):
        self.table = routing
        self.fresh = True
        self.sent = []
        self.loads = []
        self.mode = "prompt"
        self.late = []
        self.records = records or RunRecords()

    def start(self):
        """Do nothing."""

    stop = set_leaving = start

    def send(self, message):
        """Record the message."""
        self.sent.append(message)

    def report_load(self, load):
        """Record the load."""
        self.loads.append(load)

    def handle(self, frame):
        """Leave every frame to the entry."""
        return False

    def propose(self, command, timeout_ms):
        """Answer a proposal according to the mode."""
        if self.mode == "unreachable":
            return fail(ControlUnavailableError("out of reach"))
        result = self.records.apply(command)
        if self.mode == "answer lost":
            return fail(ControlUnavailableError("no answer"))
        if self.mode == "late":
            answered = Deferred()
            self.late.append((answered, result))
            return answered
        return succeed(result)

    def answer_late(self):
        """Answer the commands that were applied in late mode."""
        late, self.late = self.late, []
        for answered, result in late:
            answered.callback(result)


class RunRecords:
    """In-memory model of control's run-once records and jobs."""

    def __init__(self):
        self.claim_by_key = {}
        self.finish_by_key = {}
        self.freed = set()
        self.job_by_id = {}

    def apply(self, command):
        """Apply a command and return its result."""
        if isinstance(command, ClaimRun):
            return self._claim(command)
        if isinstance(command, FinishRun):
            return self._finish(command)
        if isinstance(command, SubmitJob):
            job = self.job_by_id.setdefault(command.job_id, ["waiting", command, b""])
            return CommandResult(1, None, job[0])
        if isinstance(command, ClaimJob):
            job = self.job_by_id[command.job_id]
            if job[0] != "waiting":
                return CommandResult(1, Refusal.of(ErrorKind.CONFLICT, "taken"))
            job[0] = "running"
            return CommandResult(1, None, job[0], job[1].body)
        if isinstance(command, FinishJob):
            self.job_by_id[command.job_id][::2] = [command.state, command.payload]
        if isinstance(command, ReadJob) and command.job_id in self.job_by_id:
            state, _, payload = self.job_by_id[command.job_id]
            return CommandResult(1, None, state, payload)
        return CommandResult(1)

    def _claim(self, command):
        held = self.claim_by_key.get(command.key_hash)
        if command.request_id in self.freed:
            return CommandResult(1, None, RunState.NOT_RUN.value)
        if held is None:
            self.claim_by_key[command.key_hash] = held = command
        if held.body_hash != command.body_hash:
            return CommandResult(1, Refusal.of(ErrorKind.KEY_REUSED, "other body"))
        finish = self.finish_by_key.get(command.key_hash)
        state = finish.state if finish else RunState.CLAIMED
        payload = finish.answer if finish else b""
        return CommandResult(1, None, state.value, payload, held.owner, held.stream_id)

    def _finish(self, command):
        held = self.claim_by_key.get(command.key_hash)
        if held is None or held.request_id != command.request_id:
            return CommandResult(1, Refusal.of(ErrorKind.CONFLICT, "not yours"))
        if command.state is RunState.NOT_RUN:
            del self.claim_by_key[command.key_hash]
            self.freed.add(command.request_id)
            return CommandResult(1, None, command.state.value)
        self.finish_by_key[command.key_hash] = command
        return CommandResult(1, None, command.state.value)


class FakeAgent:
    """Fake agent that answers dispatches over a real message transport."""

    def __init__(self, reactor, node_id, parts=(b"data: 1\n\n", b"data: [DONE]\n\n")):
        self.parts = parts
        self.status = 200
        self.content_type = "text/event-stream"
        self.dispatches = []
        self.cancels = []
        self.silent = False
        self.drop_chunk = None
        self.refusal = None
        self.held_from = None
        self._held = []
        self.transport = MessageTransport(
            reactor, node_id, 1, NODE_CODEC, "tcp://127.0.0.1:0", self._take
        )

    def release(self):
        """Send the rest of the answers that are held."""
        self.held_from = None
        held, self._held = self._held, []
        for address, body, offset in held:
            self._answer(address, body, offset)

    def _take(self, frame):
        body = frame.body
        if isinstance(body, Dispatch):
            self.dispatches.append(body)
            if not self.silent:
                self._answer(frame.reply_to, body, 0)
        if isinstance(body, Resume):
            self.drop_chunk = self.held_from = None
            self._answer(frame.reply_to, body, body.offset)
        if isinstance(body, Cancel):
            self.cancels.append(body)

    def _answer(self, address, body, start):
        send = self.transport.send
        request_id, attempt = body.request_id, body.attempt
        if self.refusal is not None:
            send(address, Refused(request_id, attempt, self.refusal))
            return
        send(address, AnswerHead(request_id, attempt, self.status, self.content_type))
        offset = 0
        for index, part in enumerate(self.parts):
            if index == self.held_from:
                self._held.append((address, body, offset))
                return
            if index != self.drop_chunk and offset + len(part) > start:
                send(address, AnswerChunk(request_id, attempt, offset, part))
            offset += len(part)
        send(address, AnswerEnd(request_id, attempt, offset))


class FakeReply:
    """Fake reply that records what the caller receives."""

    def __init__(self, streaming=False):
        self.streaming = streaming
        self.has_started = False
        self.body = b""
        self.status = None
        self.refusal = None
        self.ended = False
        self.answers = 0
        self.checked = False

    def head(self, status, content_type, position):
        """Record the status."""
        self.status = status

    def data(self, data):
        """Record the bytes."""
        self.body += data
        self.has_started = self.streaming

    def end(self):
        """Record the end of the answer."""
        self.ended = True
        self.answers += 1

    def refuse(self, refusal):
        """Record the refusal."""
        self.refusal = refusal
        self.answers += 1

    def reset(self):
        """Discard the bytes of a failed attempt."""
        self.body = b""


def request(number, now=0.0, **changes):
    """Return a request whose id and fingerprint derive from a number."""
    fields = {
        "request_id": f"q{number}",
        "caller": "caller",
        "model": "m",
        "adapter": "",
        "path": "/v1/completions",
        "body": b"{}",
        "streaming": False,
        "class_name": "short",
        "kind": "short",
        "repeatable": True,
        "key": "",
        "priority": 50,
        "retention_s": 3_600,
        "admitted_at": now,
        "deadline_at": now + 4.0,
        "fingerprint": hashlib.sha256(str(number).encode()).hexdigest()[:32],
    }
    return Request(**{**fields, **changes})


def coordinator(routing, send=None, extra="", clock=None, records=None):
    """Return a coordinator with a fake link, on a virtual clock unless another is given."""
    clock = clock or Clock()
    link = FakeLink(routing, records)

    def wall_ms():
        return int(clock.seconds() * 1000)

    send = send or (lambda address, message: link.sent.append(message))
    return RequestCoordinator(clock, settings(extra), link, send, random.Random(1), wall_ms)


def after(reactor, seconds):
    """Return a Deferred that fires after a delay."""
    done = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done
