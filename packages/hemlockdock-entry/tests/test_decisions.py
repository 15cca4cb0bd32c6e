"""Test the pure decisions: queues, routes, budgets, suspects, lanes and claims."""

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
    CrashTracker,
    NextStep,
    Outcome,
    RetryBudget,
    Router,
    Standing,
    next_step,
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
    """Compare the queues of a model with a plain list."""

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
        """A request comes."""
        self.count += 1
        class_name, priority = place
        asked = request(
            self.count,
            deadline_at=float(deadline),
            caller=caller,
            class_name=class_name,
            priority=priority,
        )
        same = [item for item in self.held if item.class_name == class_name]
        own = [item for item in same if item.caller == caller]
        added = self.queues.add(asked)
        expected = None
        if len(own) >= LIMIT * SHARE:
            expected = ErrorKind.RATE_LIMITED
        if len(same) >= LIMIT:
            expected = ErrorKind.QUEUE_FULL
        assert (added.err() and added.err().kind) == expected
        if expected is None:
            self.held.append(asked)

    @rule(choice=st.integers(0, 99))
    def remove(self, choice):
        """A request leaves."""
        if not self.held:
            return
        asked = self.held.pop(choice % len(self.held))
        assert self.queues.remove(asked)
        assert not self.queues.remove(asked)

    @invariant()
    def order_is_by_priority_and_deadline(self):
        """The list sorted by hand is the order in the queues."""
        expected = sorted(self.held, key=lambda r: (-r.priority, r.deadline_at, r.request_id))
        assert self.queues.requests() == expected
        assert len(self.queues) == len(expected)
        for index, asked in enumerate(expected):
            assert self.queues.ahead_of(asked) == index


QueueTest = QueueStateMachine.TestCase
QueueTest.settings = QUICK


class RouterTest(unittest.TestCase):
    def setUp(self):
        self.table = table()
        self.rows = [add_replica(self.table, f"x{number}", slots=8) for number in range(4)]
        self.router = Router("a", random.Random(1))
        for row in self.rows:
            self.router.record_dispatch(row, 0.0)
            self.router.record_completion(row, Outcome.ANSWERED, 0.0)

    def choose(self, now, **changes):
        return self.router.choose(self.table, request(1), now, **changes)

    def test_the_least_loaded_replica_is_chosen_and_a_near_one_before_a_far_one(self):
        far = add_replica(self.table, "far", slots=8, domain="b")
        for _ in range(2):
            for row in self.rows:
                self.router.record_dispatch(row, 0.0)
        self.assertEqual(self.choose(60.0), far)
        for row in self.rows:
            self.router.record_completion(row, Outcome.ANSWERED, 60.0)
            self.router.record_completion(row, Outcome.ANSWERED, 60.0)
        for _ in range(4):
            self.assertNotEqual(self.choose(60.0), far)

    def test_a_fresh_replica_starts_slowly_beside_warm_ones_only(self):
        for row in self.rows:
            self.table.delete(row.key)
        alone = add_replica(self.table, "new", slots=8)
        taken = 0
        while self.choose(60.0):
            self.router.record_dispatch(alone, 60.0)
            taken += 1
        self.assertEqual(taken, 8)
        for _ in range(8):
            self.router.record_completion(alone, Outcome.ANSWERED, 60.0)
        self.table.put(self.rows[0])
        for _ in range(8):
            self.router.record_dispatch(self.rows[0], 60.0)
        for _ in range(2):
            self.assertEqual(self.choose(60.0), alone)
            self.router.record_dispatch(alone, 60.0)
        self.assertIsNone(self.choose(60.0))
        self.assertEqual(self.choose(66.0), alone)

    def test_bad_replicas_are_ejected_but_never_more_than_half(self):
        for row in self.rows[:2]:
            for _ in range(3):
                self.router.record_dispatch(row, 60.0)
                self.router.record_completion(row, Outcome.FAILED, 60.0)
        chosen = {self.choose(61.0).node_id for _ in range(40)}
        self.assertEqual(chosen, {"x2", "x3"})
        for _ in range(3):
            self.router.record_dispatch(self.rows[2], 60.0)
            self.router.record_completion(self.rows[2], Outcome.FAILED, 60.0)
        chosen = {self.choose(61.0).node_id for _ in range(80)}
        self.assertEqual(chosen, {"x0", "x1", "x2", "x3"})
        chosen = {self.choose(66.0).node_id for _ in range(80)}
        self.assertEqual(len(chosen), 4)

    def test_two_suspects_never_share_an_endpoint(self):
        for row in self.rows:
            self.router.record_dispatch(row, 60.0, suspect=True)
        self.assertIsNone(self.choose(60.0, suspect=True))
        self.assertIsNotNone(self.choose(60.0))
        self.router.record_completion(self.rows[3], Outcome.FAILED, 60.0, suspect=True)
        self.assertEqual(self.choose(60.0, suspect=True), self.rows[3])

    def test_a_leaving_notice_counts_for_its_incarnation_only(self):
        for row in self.rows:
            self.router.node_leaving(row.node_id, 1)
        self.assertIsNone(self.choose(60.0))
        self.router.node_leaving("x0", 0)
        self.assertEqual(self.choose(60.0), self.rows[0])


class RetryTest(unittest.TestCase):
    def test_retries_stay_a_fraction_of_first_tries(self):
        budget = RetryBudget(0.1, burst=10.0)
        taken = 0
        for _ in range(1_000):
            budget.deposit()
            taken += budget.take()
        self.assertLessEqual(taken, 0.1 * 1_000 + 10)
        self.assertGreaterEqual(taken, 100)

    def step(self, asked, kind, not_run=None, passed=False, now=0.0, lost=0):
        refusal = Refusal.of(kind, "", not_run)
        return next_step(asked, refusal, 1, lost, passed, RetryBudget(1.0), now)

    def test_what_may_have_run_is_repeated_only_where_that_is_allowed(self):
        repeatable = request(1)
        single = request(2, repeatable=False)
        for kind in (ErrorKind.ENDPOINT_LOST, ErrorKind.ENGINE_FAILED, ErrorKind.STREAM_STALLED):
            self.assertIs(self.step(repeatable, kind), NextStep.QUEUE_AGAIN)
            self.assertIs(self.step(single, kind), NextStep.REFUSE)
            self.assertIs(self.step(single, kind, NotRun.TRUE), NextStep.QUEUE_AGAIN)
            self.assertIs(self.step(repeatable, kind, passed=True), NextStep.REFUSE)
            self.assertIs(self.step(repeatable, kind, now=4.0), NextStep.REFUSE)
            self.assertIs(self.step(repeatable, kind, lost=2), NextStep.REFUSE)
        self.assertIs(self.step(single, ErrorKind.DRAINING), NextStep.QUEUE_AGAIN)
        self.assertIs(self.step(repeatable, ErrorKind.QUARANTINED), NextStep.REFUSE)


class CrashTrackerTest(unittest.TestCase):
    def test_the_committed_row_and_own_sight_both_count(self):
        tracker = CrashTracker()
        rows = table()
        self.assertIs(tracker.standing(rows, "f", 0.0, 0), Standing.TRUSTED)
        tracker.record_crash("f", 0.0)
        self.assertIs(tracker.standing(rows, "f", 0.0, 0), Standing.SUSPECT)
        tracker.record_crash("f", 0.0)
        self.assertIs(tracker.standing(rows, "f", 0.0, 0), Standing.REFUSED)
        self.assertIs(tracker.standing(rows, "f", 700.0, 0), Standing.TRUSTED)
        rows.put(QuarantineRow("g", 2, True, 1_000))
        self.assertIs(tracker.standing(rows, "g", 0.0, 999), Standing.REFUSED)
        self.assertIs(tracker.standing(rows, "g", 0.0, 1_000), Standing.TRUSTED)


class ServiceSchedulerTest(unittest.TestCase):
    def test_room_is_kept_for_lookups_while_they_come(self):
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
        asked = scheduler.take_next(row, 0.0)
        while asked is not None:
            scheduler.record_start(asked)
            started += 1
            asked = scheduler.take_next(row, 0.0)
        return started


class EstimateTest(unittest.TestCase):
    @QUICK
    @given(st.integers(0, 50), st.integers(1, 8), st.integers(0, 8), st.floats(0.0, 9.0))
    def test_more_ahead_never_makes_an_answer_earlier(self, ahead, slots, free, load_left_s):
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
    def test_only_the_very_claim_may_run(self):
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
