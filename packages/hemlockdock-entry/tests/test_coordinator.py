"""Test the coordinators of two entries against a reference model, on virtual time."""

import os
import unittest

from hypothesis import HealthCheck, Phase, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from support import FakeReply, RunRecords, add_replica, coordinator, request, table
from twisted.internet.task import Clock

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Cancel,
    Dispatch,
    Refused,
    Resume,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.rows import NodeRow, QuarantineRow
from hemlockdock_entry.streams import StreamPlace
from hemlockdock_entry.tasks.exchange import Exchange
from hemlockdock_entry.tasks.once_exchange import OnceExchange
from hemlockdock_entry.tasks.resume_exchange import ResumeExchange, resume_request

EXAMPLES = 250
STEPS = 40
SLOTS = 2
AGENTS = ("x1", "x2", "x3")
LONGEST_S = 40.0
ADMISSION_REFUSAL_KINDS = (ErrorKind.ENGINE_REFUSED, ErrorKind.DRAINING)
FAILURE_KINDS = (ErrorKind.ENGINE_FAILED, ErrorKind.ENDPOINT_LOST)


def answer_for(request_id):
    """Return the correct answer to a request."""
    return f"<{request_id}:{'ab' * (len(request_id) * 3)}>".encode()


class Run:
    """One run of a request at an agent."""

    def __init__(self, dispatch, owner):
        self.dispatch = dispatch
        self.owner = owner
        self.readers = [(owner, dispatch.attempt)]
        self.sent = 0
        self.executed = False
        self.ended = False


class CoordinatorStateMachine(RuleBasedStateMachine):
    """Drive coordinators by events of callers, agents, control and the network."""

    def __init__(self):
        super().__init__()
        COUNTERS.value_by_key.clear()
        self.clock = Clock()
        self.table = table(slots=SLOTS, load_ms=500)
        self.records = RunRecords()
        self.coordinators = []
        for number in range(2):
            coord = coordinator(self.table, self.make_sender(number), "", self.clock, self.records)
            coord.node_id = f"entry-{number}"
            coord.start()
            self.coordinators.append(coord)
        self.runs = []
        self.replies = []
        self.executions_by_key = {}
        self.incarnation = 1
        for node_id in AGENTS:
            add_replica(self.table, node_id, node_id, slots=SLOTS)

    def make_sender(self, number):
        """Return the send function of a coordinator."""
        return lambda address, message: self.receive_at_agent(number, address, message)

    def receive_at_agent(self, number, node_id, message):
        """Handle a message that arrives at an agent."""
        if isinstance(message, Dispatch):
            node = self.table.node_by_id[node_id]
            assert not node.leaving and not node.lost, "dispatch to a node that accepts no requests"
            assert message.replica_id in self.table.replica_by_id
            run = Run(message, number)
            run.node_id = node_id
            run.incarnation = node.incarnation
            self.runs.append(run)
        if isinstance(message, Cancel):
            for run in self.runs:
                if run.dispatch.request_id == message.request_id and run.node_id == node_id:
                    run.ended = run.ended or not run.dispatch.run_once
        if isinstance(message, Resume):
            self.handle_resume(number, node_id, message)

    def handle_resume(self, number, node_id, message):
        """Send the rest of a run's answer, as an agent that buffers answers does."""
        for run in self.runs:
            same = run.dispatch.request_id == message.request_id and run.node_id == node_id
            if not same or run.incarnation != self.table.node_by_id[node_id].incarnation:
                continue
            run.readers.append((number, message.attempt))
            if run.sent or run.ended and run.executed:
                self.clock.callLater(0, self.resend, run, number, message)
            return
        refusal = Refusal.of(ErrorKind.UNKNOWN_STREAM, "not kept")
        refused = Refused(message.request_id, message.attempt, refusal)
        self.clock.callLater(0, self.coordinators[number].attempts.handle, refused, node_id)

    def resend(self, run, number, message):
        """Send again what a run has sent so far, from an offset."""
        body = answer_for(run.dispatch.request_id)
        attempts = self.coordinators[number].attempts
        ids = (message.request_id, message.attempt)
        attempts.handle(AnswerHead(*ids, 200, "application/json"), run.node_id)
        if run.sent > message.offset:
            data = body[message.offset : run.sent]
            attempts.handle(AnswerChunk(*ids, message.offset, data), run.node_id)
        if run.sent == len(body):
            attempts.handle(AnswerEnd(*ids, len(body)), run.node_id)

    def send_to_readers(self, run, make):
        """Send one frame to every reader of a run."""
        for number, attempt in run.readers:
            frame = make(run.dispatch.request_id, attempt)
            self.coordinators[number].attempts.handle(frame, run.node_id)

    def open_runs(self):
        """Return the unfinished runs at agents that are not lost or restarted."""
        return [
            run
            for run in self.runs
            if not run.ended
            and run.node_id in self.table.node_by_id
            and self.table.node_by_id[run.node_id].incarnation == run.incarnation
            and not self.table.node_by_id[run.node_id].lost
        ]

    def execute(self, run):
        """Execute a request at its engine, at most once per run."""
        if run.executed:
            return
        run.executed = True
        held = [item for item in self.replies if item[0].request_id == run.dispatch.request_id]
        req = held[0][0]
        name = f"key {req.key}" if req.once else req.request_id
        self.executions_by_key[name] = self.executions_by_key.get(name, 0) + 1
        if not req.repeatable:
            assert self.executions_by_key[name] == 1, "not repeatable, but run twice"

    def table_changed(self):
        """Notify both entries of a change of the routing table."""
        for coord in self.coordinators:
            coord.table_changed()

    @rule(
        entry=st.integers(0, 1),
        kind=st.sampled_from(["plain", "plain", "unrepeatable", "once"]),
        key=st.integers(1, 2),
        deadline=st.sampled_from([0.3, 2.0, 8.0]),
        streaming=st.booleans(),
        caller=st.sampled_from(["a", "b"]),
    )
    def submit(self, entry, kind, key, deadline, streaming, caller):
        """Submit a request."""
        number = len(self.replies)
        now = self.clock.seconds()
        changes = {"deadline_at": now + deadline, "streaming": streaming, "caller": caller}
        if kind != "plain":
            changes["repeatable"] = False
        if kind == "once":
            changes.update(key=f"k{key}", fingerprint=f"once-{key}", caller="a")
        req = request(number, now, **changes)
        reply = FakeReply(streaming)
        exchange_type = OnceExchange if req.once else Exchange
        exchange = exchange_type(self.coordinators[entry], req, reply)
        self.replies.append((req, reply, exchange))
        self.coordinators[entry].submit(exchange)

    @precondition(lambda self: self.open_runs())
    @rule(choice=st.integers(0, 99), size=st.integers(1, 400), twice=st.booleans())
    def answer_part(self, choice, size, twice):
        """An agent sends the next part of an answer, possibly twice, and its end if complete."""
        run = self.open_runs()[choice % len(self.open_runs())]
        self.execute(run)
        body = answer_for(run.dispatch.request_id)
        start, run.sent = run.sent, min(len(body), run.sent + size)
        sent, stop = run.sent, run.sent == len(body)
        run.ended = stop
        for _ in range(1 + twice):
            self.send_to_readers(run, lambda i, a: AnswerHead(i, a, 200, "application/json"))
            self.send_to_readers(run, lambda i, a: AnswerChunk(i, a, start, body[start:sent]))
        if stop:
            self.send_to_readers(run, lambda i, a: AnswerEnd(i, a, len(body)))

    @precondition(lambda self: self.open_runs())
    @rule(choice=st.integers(0, 99), size=st.integers(1, 9))
    def lose_part(self, choice, size):
        """The network drops a part of an answer."""
        run = self.open_runs()[choice % len(self.open_runs())]
        self.execute(run)
        run.sent = min(len(answer_for(run.dispatch.request_id)) - 1, run.sent + size)

    @precondition(lambda self: self.runs)
    @rule(choice=st.integers(0, 99), other=st.integers(0, 99), size=st.integers(1, 4))
    def misroute_frame(self, choice, other, size):
        """Messages arrive with a wrong attempt number or from a wrong agent."""
        run = self.runs[choice % len(self.runs)]
        wrong_sender = AGENTS[other % len(AGENTS)]
        attempt = run.dispatch.attempt
        if wrong_sender == run.node_id:
            attempt += 1 + other
        ids = (run.dispatch.request_id, attempt)
        attempts = self.coordinators[run.owner].attempts
        attempts.handle(AnswerHead(*ids, 200, "text/plain"), wrong_sender)
        attempts.handle(AnswerChunk(*ids, run.sent, b"!" * size), wrong_sender)

    @precondition(lambda self: self.open_runs())
    @rule(
        choice=st.integers(0, 99), kind=st.sampled_from([*ADMISSION_REFUSAL_KINDS, *FAILURE_KINDS])
    )
    def refuse(self, choice, kind):
        """An agent refuses a request before it runs, or its engine fails."""
        run = self.open_runs()[choice % len(self.open_runs())]
        if run.executed and kind in ADMISSION_REFUSAL_KINDS:
            return
        if kind in FAILURE_KINDS:
            self.execute(run)
        run.ended = True
        refusal = Refusal.of(kind, "refused")
        self.send_to_readers(run, lambda i, a: Refused(i, a, refusal))

    @rule(choice=st.integers(0, 2), change=st.sampled_from(["leaving", "lost", "back", "notice"]))
    def change_node(self, choice, change):
        """An agent leaves, is lost or returns."""
        node_id = AGENTS[choice]
        row = self.table.node_by_id[node_id]
        if change == "notice":
            for coord in self.coordinators:
                coord.router.node_leaving(node_id, row.incarnation)
            change = "leaving"
        incarnation = row.incarnation + (change == "back" and (row.lost or row.leaving))
        self.table.put(
            NodeRow(
                node_id,
                "agent",
                node_id,
                "a",
                node_id,
                incarnation,
                change == "leaving" or (row.leaving and change != "back"),
                change == "lost" or (row.lost and change != "back"),
            )
        )
        self.table_changed()

    @rule(choice=st.integers(0, 20), refused=st.booleans())
    def quarantine(self, choice, refused):
        """Control commits a quarantine row for a request."""
        if not self.replies:
            return
        req = self.replies[choice % len(self.replies)][0]
        until_ms = int(self.clock.seconds() * 1000) + 3_000
        self.table.put(QuarantineRow(req.fingerprint, 1 + refused, refused, until_ms))

    @rule(
        entry=st.integers(0, 1),
        mode=st.sampled_from(["prompt", "prompt", "late", "unreachable", "answer lost"]),
        fresh=st.sampled_from([True, True, True, False]),
    )
    def change_control(self, entry, mode, fresh):
        """Control answers promptly, late or not at all, or its table becomes stale."""
        link = self.coordinators[entry].link
        link.mode = mode
        link.fresh = fresh
        link.answer_late()

    @precondition(lambda self: self.replies)
    @rule(choice=st.integers(0, 99))
    def caller_leaves(self, choice):
        """A caller disconnects."""
        self.replies[choice % len(self.replies)][2].caller_gone()

    @rule(seconds=st.sampled_from([0.0, 0.05, 0.3, 2.5, 6.0]))
    def wait(self, seconds):
        """Time passes."""
        self.clock.advance(seconds)

    @invariant()
    def ledger_balances(self):
        """The ledger balances, and each ended request has exactly one final answer."""
        for coord in self.coordinators:
            assert coord.ledger.balanced(coord.in_progress)
        for _, reply, exchange in self.replies:
            assert reply.answers <= 1
            assert (reply.answers == 1) == exchange.core.ended

    @invariant()
    def no_attempt_at_a_lost_agent_stays_open(self):
        """An attempt ends as soon as the table shows its agent as lost or restarted."""
        for coord in self.coordinators:
            for attempt in coord.attempts.all():
                row = self.table.node_by_id[attempt.node.node_id]
                assert not row.lost and row.incarnation == attempt.node.incarnation

    @invariant()
    def no_internal_error(self):
        """The entry raises no exception."""
        assert not COUNTERS.value("entry_faults"), "see the log"

    @invariant()
    def replica_limits_hold(self):
        """Each entry's requests in flight stay within each replica's limit."""
        for coord in self.coordinators:
            for replica in self.table.replica_by_id.values():
                assert 0 <= coord.router.in_flight(replica.replica_id) <= SLOTS

    @invariant()
    def answers_are_correct(self):
        """Complete answers match their request, and not_run is true only if nothing ran."""
        for req, reply, _ in self.replies:
            if reply.ended:
                self.check_answer(req, reply)
            if reply.refusal is not None and reply.refusal.not_run is NotRun.TRUE:
                self.check_not_run(req, reply)

    def check_answer(self, req, reply):
        """Check a complete answer against the expected one."""
        if not req.once:
            assert reply.body == answer_for(req.request_id), "not the answer to this request"
            return
        same_key = [item for item, *_ in self.replies if item.key == req.key]
        assert reply.body in [answer_for(item.request_id) for item in same_key]

    def check_not_run(self, req, reply):
        """Check a refusal with not_run true against the runs at the agents."""
        if req.repeatable or reply.checked:
            return
        reply.checked = True
        name = f"key {req.key}" if req.once else req.request_id
        assert not self.executions_by_key.get(name), f"{name} ran, but: {reply.refusal}"

    def teardown(self):
        """After all deadlines every request has ended and no state is left."""
        for coord in self.coordinators:
            coord.link.mode = "prompt"
            coord.link.answer_late()
        for run in self.open_runs():
            run.ended = True
            refusal = Refusal.of(ErrorKind.ENGINE_FAILED, "stopped")
            self.send_to_readers(run, lambda i, a, refusal=refusal: Refused(i, a, refusal))
        for _ in range(int(LONGEST_S)):
            self.clock.advance(1.0)
            self.ledger_balances()
            self.answers_are_correct()
        for node_id in AGENTS:
            self.table.delete(f"node/{node_id}")
        self.table_changed()
        for coord in self.coordinators:
            assert coord.in_progress == 0, "a request has no final answer"
            assert not coord.attempts.all(), "an attempt is still open"
            for replica in self.table.replica_by_id.values():
                assert coord.router.in_flight(replica.replica_id) == 0
            idle = []
            coord.when_idle(lambda idle=idle: idle.append(True))
            assert idle, "the entry never becomes idle"
            coord.stop()


def fuzz_settings():
    """Return the state machine's settings; FUZZ_EXAMPLES sets the number of examples."""
    wanted = os.environ.get("FUZZ_EXAMPLES")
    # Shrinking takes minutes, so it runs only in longer fuzz runs and CI fails quickly.
    phases = (Phase.generate, Phase.shrink) if wanted else (Phase.generate,)
    return hypothesis_settings(
        phases=phases,
        max_examples=int(wanted) if wanted else EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=not wanted,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


class DeadlineTest(unittest.TestCase):
    def refusal_at_deadline(self, with_replica):
        """Return the refusal of a request whose deadline passes without an answer."""
        rows = table()
        if with_replica:
            add_replica(rows, "x1", "x1")
        coord = coordinator(rows)
        reply = FakeReply()
        coord.submit(Exchange(coord, request(1, deadline_at=2.0), reply))
        dispatches = [item for item in coord.link.sent if isinstance(item, Dispatch)]
        self.assertEqual(len(dispatches), int(with_replica))
        coord.clock.pump([0.5] * 5)
        return reply.refusal

    def test_not_run_is_unknown_after_a_dispatch(self):
        refusal = self.refusal_at_deadline(with_replica=True)
        self.assertIs(refusal.kind, ErrorKind.DEADLINE_PASSED)
        self.assertIs(refusal.not_run, NotRun.UNKNOWN)

    def test_not_run_is_true_without_a_dispatch(self):
        self.assertIs(self.refusal_at_deadline(with_replica=False).not_run, NotRun.TRUE)


class OnceTest(unittest.TestCase):
    """Test resends of an idempotency key and readers of another request's run."""

    def setUp(self):
        rows = table()
        add_replica(rows, "x1", "x1")
        self.coordinator = coordinator(rows)

    def send(self, number):
        req = request(number, repeatable=False, key="k", kind="once", fingerprint="f")
        reply = FakeReply()
        self.coordinator.submit(OnceExchange(self.coordinator, req, reply))
        return reply

    def sent(self, kind):
        return [item for item in self.coordinator.link.sent if isinstance(item, kind)]

    def answer(self, kind, number, refusal_kind):
        message = self.sent(kind)[number]
        refusal = Refusal.of(refusal_kind, "")
        frame = Refused(message.request_id, message.attempt, refusal)
        self.coordinator.attempts.handle(frame, "x1")

    def test_a_run_whose_outcome_is_unknown_is_not_run_again(self):
        first = self.send(1)
        self.answer(Dispatch, 0, ErrorKind.ENGINE_FAILED)
        self.assertIs(first.refusal.kind, ErrorKind.ENGINE_FAILED)
        self.assertIs(first.refusal.not_run, NotRun.UNKNOWN)
        second = self.send(2)
        self.answer(Resume, 0, ErrorKind.UNKNOWN_STREAM)
        self.assertIs(second.refusal.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(len(self.sent(Dispatch)), 1)

    def test_refusal_before_the_claim_leaves_not_run_unknown(self):
        self.send(1)
        self.coordinator.draining = True
        second = self.send(2)
        self.assertIs(second.refusal.kind, ErrorKind.DRAINING)
        self.assertIs(second.refusal.not_run, NotRun.UNKNOWN)

    def test_run_refused_by_the_agent_can_run_again(self):
        self.send(1)
        self.answer(Dispatch, 0, ErrorKind.ENGINE_REFUSED)
        self.coordinator.clock.advance(0.5)
        self.assertEqual(len(self.sent(Dispatch)), 2)
        self.assertFalse(self.coordinator.link.records.finish_by_key)

    def test_disconnected_reader_of_another_run_does_not_block_idle(self):
        place = StreamPlace("q9", "x1")
        for number in range(2):
            req = resume_request(f"reader-{number}", "c", 0.0)
            reply = FakeReply(streaming=True)
            exchange = ResumeExchange(self.coordinator, req, reply, place)
            self.coordinator.submit(exchange)
            ids = ("q9", self.sent(Resume)[-1].attempt)
            self.coordinator.attempts.handle(AnswerHead(*ids, 200, "text/event-stream"), "x1")
            self.coordinator.attempts.handle(AnswerChunk(*ids, 0, b"data"), "x1")
            self.assertTrue(reply.passed)
            exchange.caller_gone()
            idle = []
            self.coordinator.when_idle(lambda idle=idle: idle.append(True))
            self.assertTrue(idle)
        self.assertFalse(self.sent(Cancel))


RequestCoordinatorTest = CoordinatorStateMachine.TestCase
RequestCoordinatorTest.settings = fuzz_settings()
if os.environ.get("FUZZ_SEED"):
    RequestCoordinatorTest = seed(int(os.environ["FUZZ_SEED"]))(RequestCoordinatorTest)


if __name__ == "__main__":
    unittest.main()
