"""Test two entries' desks together against a simple oracle, on virtual time."""

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
from hemlockdock_entry.streams import StreamPosition
from hemlockdock_entry.tasks.exchange import Exchange
from hemlockdock_entry.tasks.once_exchange import OnceExchange
from hemlockdock_entry.tasks.resume_exchange import ResumeExchange, resume_request

EXAMPLES = 250
STEPS = 40
SLOTS = 2
AGENTS = ("x1", "x2", "x3")
LONGEST_S = 40.0
GATE_KINDS = (ErrorKind.ENGINE_REFUSED, ErrorKind.DRAINING)
FAULT_KINDS = (ErrorKind.ENGINE_FAILED, ErrorKind.ENDPOINT_LOST)


def answer_for(request_id):
    """Return the only right answer to a request."""
    return f"<{request_id}:{'ab' * (len(request_id) * 3)}>".encode()


class Run:
    """Hold one run at an agent."""

    def __init__(self, dispatch, owner):
        self.dispatch = dispatch
        self.owner = owner
        self.readers = [(owner, dispatch.attempt)]
        self.sent = 0
        self.executed = False
        self.ended = False


class RequestCoordinatorMachine(RuleBasedStateMachine):
    """Drive desks by what callers, agents, control and networks may do."""

    def __init__(self):
        super().__init__()
        COUNTERS.value_by_key.clear()
        self.clock = Clock()
        self.table = table(slots=SLOTS, load_ms=500)
        self.records = RunRecords()
        self.desks = []
        for number in range(2):
            made = coordinator(self.table, self.sender(number), "", self.clock, self.records)
            made.node_id = f"entry-{number}"
            made.start()
            self.desks.append(made)
        self.runs = []
        self.replies = []
        self.executions_by_key = {}
        self.incarnation = 1
        for node_id in AGENTS:
            add_replica(self.table, node_id, node_id, slots=SLOTS)

    def sender(self, number):
        """Return what a coordinator sends messages by."""
        return lambda address, message: self.arrive(number, address, message)

    def arrive(self, number, node_id, message):
        """Take a message at an agent."""
        if isinstance(message, Dispatch):
            node = self.table.node_by_id[node_id]
            assert not node.leaving and not node.lost, "dispatch to a node that takes no work"
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
            self.resume(number, node_id, message)

    def resume(self, number, node_id, message):
        """Send the rest of a run's answer, as an agent that buffers does."""
        for run in self.runs:
            same = run.dispatch.request_id == message.request_id and run.node_id == node_id
            if not same or run.incarnation != self.table.node_by_id[node_id].incarnation:
                continue
            run.readers.append((number, message.attempt))
            if run.sent or run.ended and run.executed:
                self.clock.callLater(0, self.repeat, run, number, message)
            return
        refusal = Refusal.of(ErrorKind.UNKNOWN_STREAM, "not kept")
        refused = Refused(message.request_id, message.attempt, refusal)
        self.clock.callLater(0, self.desks[number].attempts.handle, refused, node_id)

    def repeat(self, run, number, message):
        """Send what a run has sent so far, from an offset on."""
        body = answer_for(run.dispatch.request_id)
        attempts = self.desks[number].attempts
        ids = (message.request_id, message.attempt)
        attempts.handle(AnswerHead(*ids, 200, "application/json"), run.node_id)
        if run.sent > message.offset:
            data = body[message.offset : run.sent]
            attempts.handle(AnswerChunk(*ids, message.offset, data), run.node_id)
        if run.sent == len(body):
            attempts.handle(AnswerEnd(*ids, len(body)), run.node_id)

    def tell(self, run, make):
        """Send one frame to every reader of a run."""
        for number, attempt in run.readers:
            frame = make(run.dispatch.request_id, attempt)
            self.desks[number].attempts.handle(frame, run.node_id)

    def open_runs(self):
        """Return the runs that an agent has not ended, at agents that live."""
        return [
            run
            for run in self.runs
            if not run.ended
            and run.node_id in self.table.node_by_id
            and self.table.node_by_id[run.node_id].incarnation == run.incarnation
            and not self.table.node_by_id[run.node_id].lost
        ]

    def execute(self, run):
        """Run a request at its engine."""
        if run.executed:
            return
        run.executed = True
        held = [item for item in self.replies if item[0].request_id == run.dispatch.request_id]
        asked = held[0][0]
        name = f"key {asked.key}" if asked.once else asked.request_id
        self.executions_by_key[name] = self.executions_by_key.get(name, 0) + 1
        if not asked.repeatable:
            assert self.executions_by_key[name] == 1, "not repeatable, but run twice"

    def table_changed(self):
        """Tell both entries of a change."""
        for made in self.desks:
            made.table_changed()

    @rule(
        entry=st.integers(0, 1),
        kind=st.sampled_from(["plain", "plain", "unrepeatable", "once"]),
        key=st.integers(1, 2),
        deadline=st.sampled_from([0.3, 2.0, 8.0]),
        streaming=st.booleans(),
        caller=st.sampled_from(["a", "b"]),
    )
    def submit(self, entry, kind, key, deadline, streaming, caller):
        """A caller sends a request."""
        number = len(self.replies)
        now = self.clock.seconds()
        changes = {"deadline_at": now + deadline, "streaming": streaming, "caller": caller}
        if kind != "plain":
            changes["repeatable"] = False
        if kind == "once":
            changes.update(key=f"k{key}", fingerprint=f"once-{key}", caller="a")
        asked = request(number, now, **changes)
        reply = FakeReply(streaming)
        exchange_type = OnceExchange if asked.once else Exchange
        exchange = exchange_type(self.desks[entry], asked, reply)
        self.replies.append((asked, reply, exchange))
        self.desks[entry].submit(exchange)

    @precondition(lambda self: self.open_runs())
    @rule(choice=st.integers(0, 99), size=st.integers(1, 400), twice=st.booleans())
    def answer_part(self, choice, size, twice):
        """An agent sends the next part of an answer, perhaps twice, and its end."""
        run = self.open_runs()[choice % len(self.open_runs())]
        self.execute(run)
        body = answer_for(run.dispatch.request_id)
        start, run.sent = run.sent, min(len(body), run.sent + size)
        sent, stop = run.sent, run.sent == len(body)
        run.ended = stop
        for _ in range(1 + twice):
            self.tell(run, lambda i, a: AnswerHead(i, a, 200, "application/json"))
            self.tell(run, lambda i, a: AnswerChunk(i, a, start, body[start:sent]))
        if stop:
            self.tell(run, lambda i, a: AnswerEnd(i, a, len(body)))

    @precondition(lambda self: self.open_runs())
    @rule(choice=st.integers(0, 99), size=st.integers(1, 9))
    def lose_part(self, choice, size):
        """A part of an answer is lost on the way."""
        run = self.open_runs()[choice % len(self.open_runs())]
        self.execute(run)
        run.sent = min(len(answer_for(run.dispatch.request_id)) - 1, run.sent + size)

    @precondition(lambda self: self.runs)
    @rule(choice=st.integers(0, 99), other=st.integers(0, 99), size=st.integers(1, 4))
    def cross_frame(self, choice, other, size):
        """Frames arrive under a wrong attempt, or from a wrong agent."""
        run = self.runs[choice % len(self.runs)]
        stranger = AGENTS[other % len(AGENTS)]
        attempt = run.dispatch.attempt
        if stranger == run.node_id:
            attempt += 1 + other
        ids = (run.dispatch.request_id, attempt)
        attempts = self.desks[run.owner].attempts
        attempts.handle(AnswerHead(*ids, 200, "text/plain"), stranger)
        attempts.handle(AnswerChunk(*ids, run.sent, b"!" * size), stranger)

    @precondition(lambda self: self.open_runs())
    @rule(choice=st.integers(0, 99), kind=st.sampled_from([*GATE_KINDS, *FAULT_KINDS]))
    def refuse(self, choice, kind):
        """An agent refuses a request at its gate, or its engine fails it."""
        run = self.open_runs()[choice % len(self.open_runs())]
        if run.executed and kind in GATE_KINDS:
            return
        if kind in FAULT_KINDS:
            self.execute(run)
        run.ended = True
        refusal = Refusal.of(kind, "refused")
        self.tell(run, lambda i, a: Refused(i, a, refusal))

    @rule(choice=st.integers(0, 2), change=st.sampled_from(["leaving", "lost", "back", "notice"]))
    def change_node(self, choice, change):
        """An agent leaves, is lost, or comes back."""
        node_id = AGENTS[choice]
        row = self.table.node_by_id[node_id]
        if change == "notice":
            for made in self.desks:
                made.router.node_leaving(node_id, row.incarnation)
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
        """Control commits what it knows of a crashing request."""
        if not self.replies:
            return
        asked = self.replies[choice % len(self.replies)][0]
        until_ms = int(self.clock.seconds() * 1000) + 3_000
        self.table.put(QuarantineRow(asked.fingerprint, 1 + refused, refused, until_ms))

    @rule(
        entry=st.integers(0, 1),
        mode=st.sampled_from(["prompt", "prompt", "late", "unreachable", "answer lost"]),
        fresh=st.sampled_from([True, True, True, False]),
    )
    def change_control(self, entry, mode, fresh):
        """Control is reached well, late or not, or was not heard for too long."""
        link = self.desks[entry].link
        link.mode = mode
        link.fresh = fresh
        link.answer_late()

    @precondition(lambda self: self.replies)
    @rule(choice=st.integers(0, 99))
    def caller_leaves(self, choice):
        """A caller closes its connection."""
        self.replies[choice % len(self.replies)][2].caller_gone()

    @rule(seconds=st.sampled_from([0.0, 0.05, 0.3, 2.5, 6.0]))
    def wait(self, seconds):
        """Time passes."""
        self.clock.advance(seconds)

    @invariant()
    def books_balance(self):
        """Requests in equal answers, refusals and those in progress; nobody is told twice."""
        for made in self.desks:
            assert made.ledger.balanced(made.in_progress)
        for _, reply, exchange in self.replies:
            assert reply.answers <= 1
            assert (reply.answers == 1) == exchange.core.ended

    @invariant()
    def no_try_waits_for_a_lost_agent(self):
        """A try whose agent is gone ends when the table says so."""
        for made in self.desks:
            for attempt in made.attempts.all():
                row = self.table.node_by_id[attempt.node.node_id]
                assert not row.lost and row.incarnation == attempt.node.incarnation

    @invariant()
    def no_fault_inside(self):
        """The entry's own code never fails."""
        assert not COUNTERS.value("entry_faults"), "see the log"

    @invariant()
    def no_replica_gets_more_than_it_takes(self):
        """Own requests in flight stay within each replica's bound."""
        for made in self.desks:
            for replica in self.table.replica_by_id.values():
                assert 0 <= made.router.in_flight(replica.replica_id) <= SLOTS

    @invariant()
    def answers_are_right(self):
        """Whole answers belong to their request; refusals tell the truth."""
        for asked, reply, _ in self.replies:
            if reply.ended:
                self.check_answer(asked, reply)
            if reply.refusal is not None and reply.refusal.not_run is NotRun.TRUE:
                self.check_not_run(asked, reply)

    def check_answer(self, asked, reply):
        """Compare a whole answer with the only right one."""
        if not asked.once:
            assert reply.body == answer_for(asked.request_id), "not the answer to this request"
            return
        same_key = [item for item, *_ in self.replies if item.key == asked.key]
        assert reply.body in [answer_for(item.request_id) for item in same_key]

    def check_not_run(self, asked, reply):
        """Compare a refusal that says not run with what the agents ran."""
        if asked.repeatable or reply.checked:
            return
        reply.checked = True
        name = f"key {asked.key}" if asked.once else asked.request_id
        assert not self.executions_by_key.get(name), f"{name} ran, but: {reply.refusal}"

    def teardown(self):
        """After all deadlines every caller has its answer and nothing is left over."""
        for made in self.desks:
            made.link.mode = "prompt"
            made.link.answer_late()
        for run in self.open_runs():
            run.ended = True
            refusal = Refusal.of(ErrorKind.ENGINE_FAILED, "stopped")
            self.tell(run, lambda i, a, refusal=refusal: Refused(i, a, refusal))
        for _ in range(int(LONGEST_S)):
            self.clock.advance(1.0)
            self.books_balance()
            self.answers_are_right()
        for node_id in AGENTS:
            self.table.delete(f"node/{node_id}")
        self.table_changed()
        for made in self.desks:
            assert made.in_progress == 0, "a caller was never told"
            assert not made.attempts.all(), "a try was never closed"
            for replica in self.table.replica_by_id.values():
                assert made.router.in_flight(replica.replica_id) == 0
            idle = []
            made.when_idle(lambda idle=idle: idle.append(True))
            assert idle, "the entry never becomes idle"
            made.stop()


def fuzz_settings():
    """Return the settings of a state machine, longer ones where the environment asks."""
    wanted = os.environ.get("FUZZ_EXAMPLES")
    # Shrinking takes minutes: it is left to the longer runs, so that CI fails soon.
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
        """Return what a caller is told whose deadline passes without an answer."""
        rows = table()
        if with_replica:
            add_replica(rows, "x1", "x1")
        made = coordinator(rows)
        reply = FakeReply()
        made.submit(Exchange(made, request(1, deadline_at=2.0), reply))
        dispatches = [item for item in made.link.sent if isinstance(item, Dispatch)]
        self.assertEqual(len(dispatches), int(with_replica))
        made.clock.pump([0.5] * 5)
        return reply.refusal

    def test_a_dispatched_request_is_not_said_not_to_have_run(self):
        refusal = self.refusal_at_deadline(with_replica=True)
        self.assertIs(refusal.kind, ErrorKind.DEADLINE_PASSED)
        self.assertIs(refusal.not_run, NotRun.UNKNOWN)

    def test_a_request_that_never_left_is_said_not_to_have_run(self):
        self.assertIs(self.refusal_at_deadline(with_replica=False).not_run, NotRun.TRUE)


class OnceTest(unittest.TestCase):
    """Test what a resend of a key meets."""

    def setUp(self):
        rows = table()
        add_replica(rows, "x1", "x1")
        self.coordinator = coordinator(rows)

    def send(self, number):
        asked = request(number, repeatable=False, key="k", kind="once", fingerprint="f")
        reply = FakeReply()
        self.coordinator.submit(OnceExchange(self.coordinator, asked, reply))
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

    def test_a_refusal_before_the_claim_does_not_say_not_run(self):
        self.send(1)
        self.coordinator.draining = True
        second = self.send(2)
        self.assertEqual(second.refusal.status, 502)
        self.assertIs(second.refusal.not_run, NotRun.UNKNOWN)

    def test_a_run_that_the_gate_refused_is_free_to_run(self):
        self.send(1)
        self.answer(Dispatch, 0, ErrorKind.ENGINE_REFUSED)
        self.coordinator.clock.advance(0.5)
        self.assertEqual(len(self.sent(Dispatch)), 2)
        self.assertFalse(self.coordinator.link.records.finish_by_key)

    def test_a_reader_that_leaves_another_run_holds_nothing_up(self):
        position = StreamPosition("q9", "x1")
        for number in range(2):
            asked = resume_request(f"reader-{number}", "c", 0.0)
            reply = FakeReply(streaming=True)
            exchange = ResumeExchange(self.coordinator, asked, reply, position)
            self.coordinator.submit(exchange)
            ids = ("q9", self.sent(Resume)[-1].attempt)
            self.coordinator.attempts.handle(AnswerHead(*ids, 200, "text/event-stream"), "x1")
            self.coordinator.attempts.handle(AnswerChunk(*ids, 0, b"data"), "x1")
            self.assertTrue(reply.has_started)
            exchange.caller_gone()
            idle = []
            self.coordinator.when_idle(lambda idle=idle: idle.append(True))
            self.assertTrue(idle)
        self.assertFalse(self.sent(Cancel))


RequestCoordinatorTest = RequestCoordinatorMachine.TestCase
RequestCoordinatorTest.settings = fuzz_settings()
if os.environ.get("FUZZ_SEED"):
    RequestCoordinatorTest = seed(int(os.environ["FUZZ_SEED"]))(RequestCoordinatorTest)


if __name__ == "__main__":
    unittest.main()
