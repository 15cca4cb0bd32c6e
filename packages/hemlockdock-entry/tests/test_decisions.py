"""Test queues, routing, retry budgets, crash tracking, service scheduling and claims."""

import random
import unittest

from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support import add_replica, request, settings, table

from hemlockdock_core.commands import CommandResult, RunState
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.rows import QuarantineRow, ServiceRow
from hemlockdock_entry.routing import (
    AttemptOutcome,
    CrashTracker,
    RetryBudget,
    RetryDecision,
    Router,
    TrustLevel,
    decide_retry,
)
from hemlockdock_entry.run_once import ClaimStep, decide_claim
from hemlockdock_entry.services.service_scheduler import ServiceScheduler
from hemlockdock_entry.waiting import Capacity, ModelQueues, ServiceTimes, expected_answer_s

LIMIT = 6
SHARE = 0.5
QUEUE_SETTINGS = f"[entry]\nqueue_limit = {LIMIT}\ncaller_share = {SHARE}\n"
QUICK = hypothesis_settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class QueueStateMachine(RuleBasedStateMachine):
    """Compare the queues of a model with a plain list as the reference."""

    def __init__(self):
        super().__init__()
        self.queues = ModelQueues(settings(QUEUE_SETTINGS))
        self.held = []
        self.count = 0

    @rule(
        deadline=st.integers(1, 9),
        caller=st.sampled_from("abc"),
        place=st.sampled_from([("short", 50), ("live", 60), ("job", 10)]),
    )
    def add(self, deadline, caller, place):
        """Add a request."""
        self.count += 1
        class_name, priority = place
        req = request(
            self.count,
            deadline_at=float(deadline),
            caller=caller,
            class_name=class_name,
            priority=priority,
        )
        same = [item for item in self.held if item.class_name == class_name]
        own = [item for item in same if item.caller == caller]
        added = self.queues.add(req)
        expected = None
        if len(own) >= LIMIT * SHARE:
            expected = ErrorKind.RATE_LIMITED
        if len(same) >= LIMIT:
            expected = ErrorKind.QUEUE_FULL
        assert (added.err() and added.err().kind) == expected
        if expected is None:
            self.held.append(req)

    @rule(choice=st.integers(0, 99))
    def remove(self, choice):
        """Remove a request."""
        if not self.held:
            return
        req = self.held.pop(choice % len(self.held))
        assert self.queues.remove(req)
        assert not self.queues.remove(req)

    @invariant()
    def order_is_by_priority_and_deadline(self):
        """The queues have the order of the sorted reference list."""
        expected = sorted(self.held, key=lambda r: (-r.priority, r.deadline_at, r.request_id))
        assert self.queues.requests() == expected
        assert len(self.queues) == len(expected)
        for index, req in enumerate(expected):
            assert self.queues.ahead_of(req) == index


QueueTest = QueueStateMachine.TestCase
QueueTest.settings = QUICK


class RouterTest(unittest.TestCase):
    def setUp(self):
        self.table = table()
        self.rows = [add_replica(self.table, f"x{number}", slots=8) for number in range(4)]
        self.router = Router("a", random.Random(1))
        for row in self.rows:
            self.router.record_dispatch(row, 0.0)
            self.router.record_completion(row, AttemptOutcome.ANSWERED, 0.0)

    def choose(self, now, **changes):
        return self.router.choose(self.table, request(1), now, **changes)

    def test_least_loaded_then_local_replica_is_selected(self):
        remote = add_replica(self.table, "far", slots=8, domain="b")
        for _ in range(2):
            for row in self.rows:
                self.router.record_dispatch(row, 0.0)
        self.assertEqual(self.choose(60.0), remote)
        for row in self.rows:
            self.router.record_completion(row, AttemptOutcome.ANSWERED, 60.0)
            self.router.record_completion(row, AttemptOutcome.ANSWERED, 60.0)
        for _ in range(4):
            self.assertNotEqual(self.choose(60.0), remote)

    def test_slow_start_applies_only_beside_warm_replicas(self):
        for row in self.rows:
            self.table.delete(row.key)
        new_replica = add_replica(self.table, "new", slots=8)
        taken = 0
        while self.choose(60.0):
            self.router.record_dispatch(new_replica, 60.0)
            taken += 1
        self.assertEqual(taken, 8)
        for _ in range(8):
            self.router.record_completion(new_replica, AttemptOutcome.ANSWERED, 60.0)
        self.table.put(self.rows[0])
        for _ in range(8):
            self.router.record_dispatch(self.rows[0], 60.0)
        for _ in range(2):
            self.assertEqual(self.choose(60.0), new_replica)
            self.router.record_dispatch(new_replica, 60.0)
        self.assertIsNone(self.choose(60.0))
        self.assertEqual(self.choose(66.0), new_replica)

    def test_failing_replicas_are_ejected_but_never_more_than_half(self):
        for row in self.rows[:2]:
            for _ in range(3):
                self.router.record_dispatch(row, 60.0)
                self.router.record_completion(row, AttemptOutcome.FAILED, 60.0)
        chosen = {self.choose(61.0).node_id for _ in range(40)}
        self.assertEqual(chosen, {"x2", "x3"})
        for _ in range(3):
            self.router.record_dispatch(self.rows[2], 60.0)
            self.router.record_completion(self.rows[2], AttemptOutcome.FAILED, 60.0)
        chosen = {self.choose(61.0).node_id for _ in range(80)}
        self.assertEqual(chosen, {"x0", "x1", "x2", "x3"})
        chosen = {self.choose(66.0).node_id for _ in range(80)}
        self.assertEqual(len(chosen), 4)

    def test_two_suspects_never_share_an_endpoint(self):
        for row in self.rows:
            self.router.record_dispatch(row, 60.0, suspect=True)
        self.assertIsNone(self.choose(60.0, suspect=True))
        self.assertIsNotNone(self.choose(60.0))
        self.router.record_completion(self.rows[3], AttemptOutcome.FAILED, 60.0, suspect=True)
        self.assertEqual(self.choose(60.0, suspect=True), self.rows[3])

    def test_leaving_notice_applies_to_its_incarnation_only(self):
        for row in self.rows:
            self.router.node_leaving(row.node_id, 1)
        self.assertIsNone(self.choose(60.0))
        self.router.node_leaving("x0", 0)
        self.assertEqual(self.choose(60.0), self.rows[0])


class RetryTest(unittest.TestCase):
    def test_retries_stay_a_fraction_of_first_attempts(self):
        budget = RetryBudget(0.1, burst=10.0)
        taken = 0
        for _ in range(1_000):
            budget.deposit()
            taken += budget.take()
        self.assertLessEqual(taken, 0.1 * 1_000 + 10)
        self.assertGreaterEqual(taken, 100)

    def step(self, req, kind, not_run=None, passed=False, now=0.0, lost=0):
        refusal = Refusal.of(kind, "", not_run)
        return decide_retry(req, refusal, 1, lost, passed, RetryBudget(1.0), now)

    def test_possibly_executed_request_is_retried_only_if_repeatable(self):
        repeatable = request(1)
        non_repeatable = request(2, repeatable=False)
        for kind in (ErrorKind.ENDPOINT_LOST, ErrorKind.ENGINE_FAILED, ErrorKind.STREAM_STALLED):
            self.assertIs(self.step(repeatable, kind), RetryDecision.QUEUE_AGAIN)
            self.assertIs(self.step(non_repeatable, kind), RetryDecision.REFUSE)
            self.assertIs(self.step(non_repeatable, kind, NotRun.TRUE), RetryDecision.QUEUE_AGAIN)
            self.assertIs(self.step(repeatable, kind, passed=True), RetryDecision.REFUSE)
            self.assertIs(self.step(repeatable, kind, now=4.0), RetryDecision.REFUSE)
            self.assertIs(self.step(repeatable, kind, lost=2), RetryDecision.REFUSE)
        self.assertIs(self.step(non_repeatable, ErrorKind.DRAINING), RetryDecision.QUEUE_AGAIN)
        self.assertIs(self.step(repeatable, ErrorKind.QUARANTINED), RetryDecision.REFUSE)


class CrashTrackerTest(unittest.TestCase):
    def test_quarantine_rows_and_own_crash_records_both_count(self):
        tracker = CrashTracker()
        rows = table()
        self.assertIs(tracker.trust_level(rows, "f", 0.0, 0), TrustLevel.TRUSTED)
        tracker.record_crash("f", 0.0, "a")
        self.assertIs(tracker.trust_level(rows, "f", 0.0, 0), TrustLevel.SUSPECT)
        tracker.record_crash("f", 0.0, "a")
        self.assertIs(tracker.trust_level(rows, "f", 0.0, 0), TrustLevel.REFUSED)
        self.assertIs(tracker.trust_level(rows, "f", 700.0, 0), TrustLevel.TRUSTED)
        rows.put(QuarantineRow("g", 2, True, 1_000))
        self.assertIs(tracker.trust_level(rows, "g", 0.0, 999), TrustLevel.REFUSED)
        self.assertIs(tracker.trust_level(rows, "g", 0.0, 1_000), TrustLevel.TRUSTED)


class ServiceSchedulerTest(unittest.TestCase):
    def test_capacity_is_reserved_for_lookups_while_they_arrive(self):
        row = ServiceRow("s", ["http://x"], "lookup", ["GET"], 8)
        scheduler = ServiceScheduler(settings(), random.Random(1))
        for number in range(20):
            scheduler.admit(row, request(number), 0.0)
        self.assertEqual(self.start_all(scheduler, row), 8)
        scheduler.admit(row, request(30, kind="lookup", class_name="lookup"), 0.0)
        for number in range(8):
            scheduler.record_end(request(number))
        self.assertEqual(self.start_all(scheduler, row), 7)
        self.assertEqual(scheduler.in_flight, 7)

    def start_all(self, scheduler, row):
        started = 0
        req = scheduler.take_next(row, 0.0)
        while req is not None:
            scheduler.record_start(req)
            started += 1
            req = scheduler.take_next(row, 0.0)
        return started


class EstimateTest(unittest.TestCase):
    @QUICK
    @given(st.integers(0, 50), st.integers(1, 8), st.integers(0, 8), st.floats(0.0, 9.0))
    def test_estimate_never_decreases_with_more_requests_ahead(
        self, ahead, slots, free, load_left_s
    ):
        times = ServiceTimes()
        times.record("m", 0.5)
        for capacity in (
            Capacity(slots, min(free, slots), 0.0, 1),
            Capacity(0, 0, load_left_s, slots),
        ):
            sooner = expected_answer_s(capacity, ahead, times, "m", False)
            later = expected_answer_s(capacity, ahead + 1, times, "m", False)
            self.assertLessEqual(sooner, later)
            self.assertGreaterEqual(sooner, 0.5)
        cold = Capacity(0, 0, load_left_s, slots)
        self.assertGreaterEqual(expected_answer_s(cold, ahead, times, "m", True), load_left_s)


class ClaimTest(unittest.TestCase):
    def test_only_the_matching_claim_may_run(self):
        def step(state, owner="me", stream_id="q@x", payload=b""):
            result = CommandResult(1, None, state.value, payload, owner, stream_id)
            return decide_claim(result, "me", "q@x").step

        self.assertIs(step(RunState.CLAIMED), ClaimStep.RUN)
        self.assertIs(step(RunState.CLAIMED, owner="other"), ClaimStep.JOIN)
        self.assertIs(step(RunState.CLAIMED, stream_id="p@x"), ClaimStep.JOIN)
        self.assertIs(step(RunState.RAN), ClaimStep.RECOVER_RAN)
        self.assertIs(step(RunState.UNKNOWN), ClaimStep.RECOVER_UNKNOWN)
        self.assertIs(step(RunState.NOT_RUN), ClaimStep.CLAIM_AGAIN)


if __name__ == "__main__":
    unittest.main()
