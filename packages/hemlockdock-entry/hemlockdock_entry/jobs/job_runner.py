"""Run the jobs that control keeps, where there is idle room."""

import logging

import msgspec

from hemlockdock_core.commands import ClaimJob, FinishJob
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_core.repeating import Repeating
from hemlockdock_entry.intake import Request, fingerprint_of
from hemlockdock_entry.jobs.job_body import JobBody
from hemlockdock_entry.jobs.job_reply import JobReply
from hemlockdock_entry.tasks.exchange import Exchange

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 60.0
MOST_CLAIMS_AT_ONCE = 16
JOB_KIND = "job"
LASTING_KINDS = frozenset(
    (
        ErrorKind.QUARANTINED,
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.DEADLINE_UNREACHABLE,
    )
)


class JobRunner:
    """Run waiting jobs where a replica has room that no caller waits for.

    Parameters
    ----------
    coordinator : RequestCoordinator
    mint : callable
        Returns a new request id.
    """

    def __init__(self, coordinator, mint):
        self._coordinator = coordinator
        self._mint = mint
        self._held = set()
        self._model_by_claim = {}
        self._pause_by_id = {}
        self._scans = Repeating(coordinator.clock, self.scan)

    def start(self):
        """Begin to look for jobs."""
        self._scans.start(self._coordinator.settings.entry.wish_ms / MS_PER_S, now=False)

    def stop(self):
        """End looking for jobs."""
        self._scans.stop()

    def scan(self):
        """Claim the jobs that can run now, or can no longer run in time."""
        if self._coordinator.draining or not self._coordinator.link.fresh:
            return
        waiting = [
            row for row in self._coordinator.link.table.job_by_id.values() if self._is_open(row)
        ]
        self._coordinator.random.shuffle(waiting)
        # Entries that scan alike would claim alike; the sort is stable within a deadline.
        waiting.sort(key=lambda row: row.deadline_at_ms)
        for row in waiting:
            if len(self._model_by_claim) >= MOST_CLAIMS_AT_ONCE:
                return
            self._consider(row)
        self._forget_ended()

    def _is_open(self, row):
        # A claim whose answer was lost shows as this entry's own: it is claimed again.
        is_own = row.state == "running" and row.owner == self._coordinator.node_id
        if row.job_id in self._held or not (row.state == "waiting" or is_own):
            return False
        _, until = self._pause_by_id.get(row.job_id, (0.0, 0.0))
        return until <= self._coordinator.clock.seconds()

    def _consider(self, row):
        probe = self._request(row, JobBody("", "", "", True, b""))
        if probe is None:
            self._claim(row)
            return
        if self._coordinator.admission.unreachable(probe, 0) is not None:
            # Claimed only to report it: the caller learns early that it cannot be had.
            self._claim(row)
            return
        claimed = list(self._model_by_claim.values()).count(probe.model)
        if self._coordinator.waiting.idle_room(probe) > claimed:
            self._claim(row, probe.model)
            return
        self._coordinator.waiting.wish_if_cold(probe)

    def _claim(self, row, model=""):
        self._held.add(row.job_id)
        self._model_by_claim[row.job_id] = model
        now_ms = self._coordinator.wall_ms()
        command = ClaimJob(
            row.job_id, self._coordinator.node_id, self._coordinator.incarnation, now_ms
        )
        claimed = self._coordinator.link.propose(
            command, self._coordinator.settings.entry.claim_timeout_ms
        )
        claimed.addBoth(self._claim_over, row)
        claimed.addCallbacks(
            self._claimed, self._not_claimed, callbackArgs=(row,), errbackArgs=(row,)
        )
        claimed.addErrback(self._coordinator.report_fault)

    def _claim_over(self, outcome, row):
        del self._model_by_claim[row.job_id]
        return outcome

    def _claimed(self, result, row):
        if result.refusal is not None:
            # Another entry was faster.
            self._held.discard(row.job_id)
            self._pause(row)
            return
        COUNTERS.increment("entry_jobs_claimed")
        body = msgspec.msgpack.decode(result.payload, type=JobBody)
        request = self._request(row, body)
        if request is None:
            message = f"no model or adapter {row.model!r}"
            self._refused(row, Refusal.of(ErrorKind.UNKNOWN_MODEL, message))
            return
        reply = JobReply(
            lambda payload: self._finish(row, "done", payload),
            lambda refusal: self._refused(row, refusal, request),
        )
        self._coordinator.submit(Exchange(self._coordinator, request, reply))

    def _not_claimed(self, failure, row):
        failure.trap(ControlUnavailableError)
        self._held.discard(row.job_id)

    def _refused(self, row, refusal, request=None):
        may_run_again = request is not None and (
            request.repeatable or refusal.not_run is NotRun.TRUE
        )
        if may_run_again and refusal.kind not in LASTING_KINDS:
            self._pause(row)
            self._finish(row, "waiting", b"")
            return
        if refusal.not_run is not NotRun.TRUE and not (request and request.repeatable):
            refusal = Refusal.of(ErrorKind.OUTCOME_UNKNOWN, refusal.message, refusal.not_run)
        self._finish(row, "failed", msgspec.json.encode(refusal.body()))

    def _finish(self, row, state, payload):
        COUNTERS.increment("entry_jobs_finished", state=state)
        command = FinishJob(
            row.job_id,
            self._coordinator.node_id,
            self._coordinator.incarnation,
            state,
            payload,
            self._coordinator.wall_ms(),
        )
        done = self._coordinator.background.run(command)
        done.addCallback(lambda _: self._held.discard(row.job_id))

    def _pause(self, row):
        pause_s, _ = self._pause_by_id.get(row.job_id, (0.0, 0.0))
        pause_s = min(MAX_PAUSE_S, pause_s * 2 or FIRST_PAUSE_S)
        self._pause_by_id[row.job_id] = (pause_s, self._coordinator.clock.seconds() + pause_s)

    def _forget_ended(self):
        for job_id in list(self._pause_by_id):
            if job_id not in self._coordinator.link.table.job_by_id:
                del self._pause_by_id[job_id]

    def _request(self, row, body):
        table = self._coordinator.link.table
        adapter = table.adapter_by_name.get(row.model)
        model = table.model_by_name.get(adapter.model if adapter else row.model)
        if model is None:
            return None
        now = self._coordinator.clock.seconds()
        class_row = table.class_by_name.get(body.class_name)
        left_s = (row.deadline_at_ms - self._coordinator.wall_ms()) / MS_PER_S
        return Request(
            request_id=self._mint(),
            caller=body.caller,
            model=model.name,
            adapter=adapter.name if adapter else "",
            path=body.path,
            body=body.body,
            streaming=False,
            class_name=body.class_name,
            kind=JOB_KIND,
            repeatable=body.repeatable,
            key="",
            priority=class_row.priority if class_row else 0,
            retention_s=0,
            admitted_at=now,
            deadline_at=now + left_s,
            fingerprint=fingerprint_of(row.model, body.path, body.body),
        )
