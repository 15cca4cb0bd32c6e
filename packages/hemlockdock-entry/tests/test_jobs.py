"""Test claiming, running, requeuing and failing jobs on a simulated clock."""

import unittest

import msgspec
from support import FakeReply, add_replica, coordinator, request, table

from hemlockdock_core.commands import SubmitJob
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import AnswerChunk, AnswerEnd, AnswerHead, Dispatch, Refused, Wish
from hemlockdock_core.rows import JobRow
from hemlockdock_entry.jobs import JobRunner
from hemlockdock_entry.jobs.job_body import JobBody
from hemlockdock_entry.tasks.exchange import Exchange

DEADLINE_MS = 60_000
JSON_TYPE = "application/json"


class JobRunnerTest(unittest.TestCase):
    def setUp(self):
        self.table = table(load_ms=5_000, slots=2)
        self.coordinator = coordinator(self.table)
        self.link = self.coordinator.link
        self.count = 0
        self.runner = JobRunner(self.coordinator, self.new_request_id)

    def new_request_id(self):
        self.count += 1
        return f"run-{self.count}"

    def submit(self, job_id, deadline_at_ms=DEADLINE_MS, repeatable=True):
        body = JobBody("c", "/v1/completions", "job", repeatable, b"{}")
        self.link.records.apply(
            SubmitJob(
                job_id,
                "c",
                "m",
                body.path,
                msgspec.msgpack.encode(body),
                deadline_at_ms,
                60,
                repeatable,
                0,
            )
        )
        self.table.put(JobRow(job_id, "m", "waiting", "", deadline_at_ms))

    def state(self, job_id):
        return self.link.records.job_by_id[job_id][0]

    def sent(self, kind):
        return [item for item in self.link.sent if isinstance(item, kind)]

    def answer(self, dispatch):
        ids = (dispatch.request_id, dispatch.attempt)
        for frame in (
            AnswerHead(*ids, 200, JSON_TYPE),
            AnswerChunk(*ids, 0, b"{}"),
            AnswerEnd(*ids, 2),
        ):
            self.coordinator.attempts.handle(frame, "x1")

    def refuse(self, dispatch, kind):
        frame = Refused(dispatch.request_id, dispatch.attempt, Refusal.of(kind, ""))
        self.coordinator.attempts.handle(frame, "x1")

    def test_a_job_waits_for_a_replica_and_then_for_a_free_slot(self):
        self.submit("j1")
        self.runner.scan()
        self.assertEqual(self.state("j1"), "waiting")
        self.assertTrue(self.sent(Wish))
        add_replica(self.table, "x1", slots=2)
        replies = [FakeReply() for _ in range(2)]
        for number, reply in enumerate(replies):
            self.coordinator.submit(Exchange(self.coordinator, request(number), reply))
        self.runner.scan()
        self.assertEqual(self.state("j1"), "waiting")
        for dispatch in self.sent(Dispatch):
            self.answer(dispatch)
        self.runner.scan()
        self.assertEqual(self.state("j1"), "running")
        self.answer(self.sent(Dispatch)[-1])
        self.assertEqual(self.state("j1"), "done")

    def test_claims_are_limited_to_the_free_slots(self):
        add_replica(self.table, "x1", slots=2)
        for number in range(5):
            self.submit(f"j{number}")
        self.runner.scan()
        self.assertEqual(len(self.sent(Dispatch)), 2)
        self.runner.scan()
        self.assertEqual(len(self.sent(Dispatch)), 2)

    def test_a_job_that_cannot_meet_its_deadline_fails_early(self):
        self.submit("j1", deadline_at_ms=2_000)
        self.runner.scan()
        self.assertEqual(self.state("j1"), "failed")
        payload = msgspec.json.decode(self.link.records.job_by_id["j1"][2])
        self.assertEqual(payload["error"]["kind"], "deadline_unreachable")
        self.assertEqual(payload["error"]["not_run"], "true")

    def test_a_failed_job_is_requeued_only_if_it_may_run_again(self):
        add_replica(self.table, "x1", slots=2)
        self.coordinator.budget.take = lambda: False
        for job_id, repeatable in (("again", True), ("single", False)):
            self.submit(job_id, repeatable=repeatable)
            self.runner.scan()
            self.refuse(self.sent(Dispatch)[-1], ErrorKind.ENGINE_FAILED)
        self.assertEqual(self.state("again"), "waiting")
        self.assertEqual(self.state("single"), "failed")
        dispatched = len(self.sent(Dispatch))
        self.runner.scan()
        self.assertEqual(len(self.sent(Dispatch)), dispatched)
        self.coordinator.clock.advance(1.5)
        self.runner.scan()
        self.assertEqual(self.state("again"), "running")
        self.assertEqual(self.state("single"), "failed")


if __name__ == "__main__":
    unittest.main()
