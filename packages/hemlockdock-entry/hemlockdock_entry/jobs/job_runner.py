"""Run the jobs stored by control on idle replica slots."""

import logging

import msgspec

from hemlockdock_core.commands import ClaimJob, FinishJob
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_entry.intake import Request, fingerprint_of
from hemlockdock_entry.jobs.job_body import JobBody
from hemlockdock_entry.jobs.job_reply import JobReply
from hemlockdock_entry.tasks.exchange import Exchange

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
MAX_PENDING_CLAIMS = 16
JOB_KIND = "job"
NON_RETRYABLE_KINDS = frozenset(
    (
        ErrorKind.QUARANTINED,
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.DEADLINE_UNREACHABLE,
    )
)


class JobRunner:
    """Claim and run waiting jobs on free replica slots that no caller's request needs.

    Parameters
    ----------
    coordinator : RequestCoordinator
    new_request_id : callable
        Returns a new request ID.
    """

    def __init__(self, coordinator, new_request_id):
        self._coordinator = coordinator
        self._new_request_id = new_request_id
        self._claimed_ids = set()
        self._model_by_pending_claim = {}
        self._backoff_by_id = {}
        self._scan_loop = PeriodicCall(coordinator.clock, self.scan)

    def start(self):
        """Start scanning for jobs periodically."""
        self._scan_loop.start(self._coordinator.settings.entry.wish_ms / MS_PER_S, now=False)

    def stop(self):
        """Stop scanning for jobs."""
        self._scan_loop.stop()

    def scan(self):
        """Claim the jobs that can run now and those that can no longer meet their deadline."""
        if self._coordinator.draining or not self._coordinator.link.fresh:
            return
        waiting = [
            row
            for row in self._coordinator.link.table.job_by_id.values()
            if self._is_claimable(row)
        ]
        self._coordinator.random.shuffle(waiting)
        # The shuffle keeps entries that scan at the same time from claiming the same jobs. The sort
        # is stable, so jobs with equal deadlines stay shuffled.
        waiting.sort(key=lambda row: row.deadline_at_ms)
        for row in waiting:
            if len(self._model_by_pending_claim) >= MAX_PENDING_CLAIMS:
                return
            self._claim_if_runnable(row)
        self._forget_ended_jobs()

    def _is_claimable(self, row):
        # If the reply to a claim was lost, the table shows this entry as the owner of a job that it
        # does not run. Such a job is claimed again.
        is_own = row.state == "running" and row.owner == self._coordinator.node_id
        if row.job_id in self._claimed_ids or not (row.state == "waiting" or is_own):
            return False
        _, retry_at = self._backoff_by_id.get(row.job_id, (0.0, 0.0))
        return retry_at <= self._coordinator.clock.seconds()

    def _claim_if_runnable(self, row):
        probe = self._build_request(row, JobBody("", "", "", True, b""))
        if probe is None:
            self._claim(row)
            return
        if self._coordinator.admission.deadline_refusal(probe, 0) is not None:
            # Claimed only to fail it, so that the caller learns early that the deadline is missed.
            self._claim(row)
            return
        claimed = list(self._model_by_pending_claim.values()).count(probe.model)
        if self._coordinator.waiting.idle_capacity(probe) > claimed:
            self._claim(row, probe.model)
            return
        self._coordinator.waiting.request_replica_if_none(probe)

    def _claim(self, row, model=""):
        self._claimed_ids.add(row.job_id)
        self._model_by_pending_claim[row.job_id] = model
        now_ms = self._coordinator.wall_ms()
        command = ClaimJob(
            row.job_id, self._coordinator.node_id, self._coordinator.incarnation, now_ms
        )
        claimed = self._coordinator.link.propose(
            command, self._coordinator.settings.entry.claim_timeout_ms
        )
        claimed.addBoth(self._remove_pending_claim, row)
        claimed.addCallbacks(
            self._handle_claim_result,
            self._handle_claim_error,
            callbackArgs=(row,),
            errbackArgs=(row,),
        )
        claimed.addErrback(self._coordinator.report_internal_error)

    def _remove_pending_claim(self, outcome, row):
        del self._model_by_pending_claim[row.job_id]
        return outcome

    def _handle_claim_result(self, result, row):
        if result.refusal is not None:
            # Another entry claimed the job first.
            self._claimed_ids.discard(row.job_id)
            self._back_off(row)
            return
        COUNTERS.increment("entry_jobs_claimed")
        body = msgspec.msgpack.decode(result.payload, type=JobBody)
        request = self._build_request(row, body)
        if request is None:
            message = f"no model or adapter {row.model!r}"
            self._handle_refusal(row, Refusal.of(ErrorKind.UNKNOWN_MODEL, message))
            return
        reply = JobReply(
            lambda payload: self._finish(row, "done", payload),
            lambda refusal: self._handle_refusal(row, refusal, request),
        )
        self._coordinator.submit(Exchange(self._coordinator, request, reply))

    def _handle_claim_error(self, failure, row):
        failure.trap(ControlUnavailableError)
        self._claimed_ids.discard(row.job_id)

    def _handle_refusal(self, row, refusal, request=None):
        may_run_again = request is not None and (
            request.repeatable or refusal.not_run is NotRun.TRUE
        )
        if may_run_again and refusal.kind not in NON_RETRYABLE_KINDS:
            self._back_off(row)
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
        done = self._coordinator.command_retrier.run(command)
        done.addCallback(lambda _: self._claimed_ids.discard(row.job_id))

    def _back_off(self, row):
        backoff_s, _ = self._backoff_by_id.get(row.job_id, (0.0, 0.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2 or INITIAL_BACKOFF_S)
        self._backoff_by_id[row.job_id] = (backoff_s, self._coordinator.clock.seconds() + backoff_s)

    def _forget_ended_jobs(self):
        for job_id in list(self._backoff_by_id):
            if job_id not in self._coordinator.link.table.job_by_id:
                del self._backoff_by_id[job_id]

    def _build_request(self, row, body):
        table = self._coordinator.link.table
        adapter = table.adapter_by_name.get(row.model)
        model = table.model_by_name.get(adapter.model if adapter else row.model)
        if model is None:
            return None
        now = self._coordinator.clock.seconds()
        class_row = table.class_by_name.get(body.class_name)
        remaining_s = (row.deadline_at_ms - self._coordinator.wall_ms()) / MS_PER_S
        return Request(
            request_id=self._new_request_id(),
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
            deadline_at=now + remaining_s,
            fingerprint=fingerprint_of(row.model, body.path, body.body),
        )
