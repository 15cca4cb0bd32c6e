"""Handle one call to a plain service."""

import msgspec

from hemlockdock_core.commands import RunState
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.metrics import COUNTERS, LATENCIES
from hemlockdock_entry.lifecycle import start_lifecycle
from hemlockdock_entry.retry_after import requested_pause_s
from hemlockdock_entry.routing import AttemptOutcome, RetryDecision, decide_retry
from hemlockdock_entry.run_once import ClaimStep, StoredAnswer
from hemlockdock_entry.services.service_answer import ServiceAnswer
from hemlockdock_entry.tasks.once_claim import OnceClaim

BYTES_PER_KB = 1_024
MS_PER_S = 1_000
JOIN_POLL_S = 0.05
RETRY_DELAY_S = 0.05
LOOKUP_KIND = "lookup"


class ServiceCall:
    """One call to a plain service, with its state, deadline, attempts and hedge.

    Parameters
    ----------
    coordinator : RequestCoordinator
    services : ServiceDispatcher
    service : str
    request : Request
    method, target : str
        The target is the path and query below the instance's base URL.
    headers : dict of str to list of str
    reply : ServiceReply
    """

    def __init__(self, coordinator, services, service, request, method, target, headers, reply):
        self.service = service
        self.request = request
        self.attempt = None
        self.suspect = False
        self.life, self.core = start_lifecycle(coordinator.ledger)
        self._coordinator = coordinator
        self._services = services
        self._method = method
        self._target = target
        self._headers = headers
        self._reply = reply
        self._claim = OnceClaim(coordinator, request) if request.once else None
        self._open_attempts = {}
        self._attempt_count = 0
        self._may_have_run = False
        self._attempted_urls = set()
        self._timers = set()
        left_s = max(0.0, request.deadline_at - coordinator.clock.seconds())
        self._call_later(left_s, self._deadline_passed)

    def begin(self):
        """Queue the call, after claiming its run if it must run at most once."""
        if self._claim is None or self._claim.held:
            self._services.enqueue(self)
            return
        self._claim.claim().addCallback(self._on_claimed).addErrback(self._on_internal_error)

    def run(self):
        """Send the call to an instance, and schedule a hedge if the call allows one."""
        if self._attempt_count == 0:
            self.life.dispatch()
            self._coordinator.budget.deposit()
        self._send_attempt()
        hedge_ms = self._coordinator.settings.entry.hedge_after_ms
        if hedge_ms and self.request.repeatable and self.request.kind == LOOKUP_KIND:
            self._call_later(hedge_ms / MS_PER_S, self._hedge)

    def refuse(self, refusal):
        """Send the caller a final refusal, unless the call has already ended.

        Parameters
        ----------
        refusal : Refusal
        """
        if self.core.ended:
            return
        if self._may_have_run:
            refusal = refusal.without_promise()
        held = self._claim is not None and self._claim.held
        if held and refusal.not_run is NotRun.TRUE:
            self._claim.finish(RunState.NOT_RUN)
        if refusal.not_run is NotRun.TRUE and self._claim is not None and not held:
            is_key_reused = refusal.kind is ErrorKind.KEY_REUSED
            not_run = NotRun.TRUE if is_key_reused else NotRun.UNKNOWN
            retry_ms = refusal.retry_after_ms
            refusal = Refusal.of(refusal.kind, refusal.message, not_run, retry_ms)
        self.life.refuse()
        COUNTERS.increment("entry_refusals", kind=refusal.kind.value)
        self._end()
        self._reply.refuse(refusal)

    def caller_gone(self):
        """Handle the caller's disconnection."""
        if self.core.ended:
            return
        self._cancel_attempts()
        self.refuse(Refusal.of(ErrorKind.CALLER_GONE, "the caller went away"))

    def shut_down(self):
        """End the call with a refusal because the process is stopping."""
        self._cancel_attempts()
        not_run = self._not_run_so_far()
        self.refuse(Refusal.of(ErrorKind.DRAINING, "this entry has shut down", not_run))

    def _on_claimed(self, outcome):
        if self.core.ended:
            if self._claim.held:
                self._claim.finish(RunState.NOT_RUN)
            return
        if outcome.step is ClaimStep.RUN:
            self._services.enqueue(self)
            return
        if outcome.step is ClaimStep.ANSWER:
            self.life.claim()
            answer = outcome.answer
            headers = {"content-type": [answer.content_type]} if answer.content_type else {}
            # The stored answer belongs to the one run of this idempotency key.
            self._answer(ServiceAnswer(answer.status, headers, answer.body))
            return
        if outcome.step in (ClaimStep.JOIN, ClaimStep.CLAIM_AGAIN):
            self._call_later(JOIN_POLL_S, self.begin)
            return
        self.refuse(_recovery_refusal(outcome))

    def _send_attempt(self):
        now = self._coordinator.clock.seconds()
        url = self._services.take_instance(self, self._attempted_urls)
        self._attempt_count += 1
        self._attempted_urls.add(url)
        target = url.rstrip("/") + self._target
        COUNTERS.increment("entry_service_calls")
        deferred = self._services.client.call(
            self._method, target, self._headers, self.request.body
        )
        self._open_attempts[deferred] = (url, now)
        deferred.addCallbacks(
            self._on_answer, self._on_failure, callbackArgs=(deferred,), errbackArgs=(deferred,)
        )
        deferred.addErrback(self._on_internal_error)

    def _hedge(self):
        if self.core.ended or len(self._open_attempts) != 1:
            return
        if not self._services.has_capacity(self.service) or not self._coordinator.budget.take():
            return
        COUNTERS.increment("entry_hedges")
        self._send_attempt()

    def _on_answer(self, answer, deferred):
        url, started = self._open_attempts.pop(deferred)
        now = self._coordinator.clock.seconds()
        self._services.scheduler(self.service).times.record(self.service, now - started)
        pause_s = requested_pause_s(answer.status, answer.retry_after)
        if pause_s:
            self._services.record_pause(self, url, pause_s)
        self._services.release(self, url, AttemptOutcome.ANSWERED)
        if self._claim is not None:
            self._claim.finish(RunState.RAN, self._encode_stored_answer(answer))
        if self.core.ended:
            self._coordinator.closed(self)
            return
        self._cancel_attempts()
        self._answer(answer)

    def _on_failure(self, failure, deferred):
        open_attempt = self._open_attempts.pop(deferred, None)
        if open_attempt is None:
            return
        url, _ = open_attempt
        self._services.release(self, url, AttemptOutcome.FAILED)
        refusal = getattr(failure.value, "refusal", None)
        if refusal is None:
            failure.raiseException()
        if refusal.not_run is not NotRun.TRUE:
            self._may_have_run = True
        if self._open_attempts:
            # Another attempt is still open and may succeed.
            return
        if self.core.ended:
            self._finish_claim(refusal)
            self._coordinator.closed(self)
            return
        step = decide_retry(
            self.request,
            refusal,
            self._attempt_count,
            0,
            False,
            self._coordinator.budget,
            self._coordinator.clock.seconds(),
        )
        if step is RetryDecision.REFUSE:
            if refusal.not_run is not NotRun.TRUE:
                self._finish_claim(refusal)
            self.refuse(self._refusal_for_caller(refusal))
            return
        COUNTERS.increment("entry_retries", kind=refusal.kind.value)
        self._call_later(RETRY_DELAY_S, self._requeue)

    def _requeue(self):
        if not self.core.ended:
            self._services.enqueue(self)

    def _finish_claim(self, refusal):
        if self._claim is None:
            return
        never_ran = refusal.not_run is NotRun.TRUE
        self._claim.finish(RunState.NOT_RUN if never_ran else RunState.UNKNOWN)

    def _refusal_for_caller(self, refusal):
        # A resend with the same key gets OUTCOME_UNKNOWN from the run-once record, so the first
        # call reports it as well.
        if self._claim is None or refusal.not_run is NotRun.TRUE:
            return refusal
        return Refusal.of(ErrorKind.OUTCOME_UNKNOWN, refusal.message)

    def _encode_stored_answer(self, answer):
        limit = self._coordinator.settings.entry.stored_answer_kb * BYTES_PER_KB
        if len(answer.body) > limit:
            return b""
        stored = StoredAnswer(answer.status, answer.content_type, answer.body)
        return msgspec.msgpack.encode(stored)

    def _answer(self, answer):
        self.life.answer()
        elapsed_s = self._coordinator.clock.seconds() - self.request.admitted_at
        LATENCIES.record("answer", self.request.class_name, elapsed_s)
        self._end()
        self._reply.answer(answer)

    def _deadline_passed(self):
        if self.core.ended:
            return
        not_run = self._not_run_so_far()
        self._cancel_attempts()
        message = "the deadline passed before the service answered"
        self.refuse(Refusal.of(ErrorKind.DEADLINE_PASSED, message, not_run))

    def _not_run_so_far(self):
        return NotRun.TRUE if self._attempt_count == 0 else NotRun.UNKNOWN

    def _cancel_attempts(self):
        self._services.dequeue(self)
        if self._open_attempts:
            self._may_have_run = True
        if self._claim is not None:
            # A run under a claim continues, so that its outcome can be recorded.
            return
        for deferred, (url, _) in list(self._open_attempts.items()):
            del self._open_attempts[deferred]
            self._services.release(self, url, AttemptOutcome.NEUTRAL)
            deferred.cancel()

    def _end(self):
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self.attempt = self._open_attempts or None
        if self._claim is not None and self._claim.held and not self._open_attempts:
            # No attempt is left that could report the outcome.
            self._claim.finish(RunState.UNKNOWN)
        self._coordinator.answered(self)

    def _call_later(self, seconds, callback):
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(self._coordinator.clock.callLater(seconds, callback))

    def _on_internal_error(self, failure):
        self._coordinator.report_internal_error(failure)
        self.refuse(Refusal.of(ErrorKind.INTERNAL, "internal error"))


def _recovery_refusal(outcome):
    if outcome.step is ClaimStep.REFUSE:
        return outcome.refusal
    if outcome.step is ClaimStep.RECOVER_RAN:
        message = "the request ran before; its answer is no longer kept"
        return Refusal.of(ErrorKind.ALREADY_RAN, message)
    message = "whether the request ran before cannot be told"
    return Refusal.of(ErrorKind.OUTCOME_UNKNOWN, message)
