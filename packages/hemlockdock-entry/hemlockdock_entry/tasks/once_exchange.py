"""Handle one model request that must run at most once."""

from hemlockdock_core.commands import RunState
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.routing import AttemptOutcome
from hemlockdock_entry.run_once import AnswerRecorder, ClaimStep
from hemlockdock_entry.streams import StreamPosition
from hemlockdock_entry.tasks.attempt import Attempt
from hemlockdock_entry.tasks.exchange import Exchange
from hemlockdock_entry.tasks.once_claim import OnceClaim

BYTES_PER_KB = 1_024
JOIN_POLL_S = 0.1


class OnceExchange(Exchange):
    """One model request that must run at most once.

    The run is claimed from control before anything is sent to an agent. If another request holds
    or held the claim, this request reads the answer of that run instead of running itself.
    """

    def __init__(self, coordinator, request, reply):
        super().__init__(coordinator, request, reply)
        self._claim = OnceClaim(coordinator, request)
        self._recorder = AnswerRecorder(coordinator.settings.entry.stored_answer_kb * BYTES_PER_KB)
        self._is_running = False
        self._refusal_after_join = None
        self._claim_released = False

    @property
    def run_may_outlive_reply(self):
        """Return whether the run continues after the caller is answered or disconnected."""
        return self._is_running

    @property
    def owns_run(self):
        """Return whether this request started the run, as opposed to reading another one's."""
        return self._is_running

    def begin(self):
        """Queue the request if its claim is held or it can start at once, else claim first."""
        if self._claim.held or self.coordinator.waiting.has_capacity(self.request):
            self.coordinator.waiting.enqueue(self)
            return
        # The request may be queued for long, and a resend must learn of an earlier run before that.
        self._add_callback(self._claim.claim(), self._on_claimed_without_place)

    def run_on(self, replica):
        """Claim the run with the location of its answer, then dispatch it."""
        self.replica = replica
        self.life.claim()
        position = StreamPosition(self.request.request_id, replica.node_id)
        if not self._claim.held:
            self._add_callback(self._claim.claim(position), self._on_claimed)
            return
        freed = self._claim.finish(RunState.NOT_RUN)
        self._add_callback(
            freed, lambda _: self._add_callback(self._claim.claim(position), self._on_claimed)
        )

    def on_head(self, status, content_type):
        """Handle the head of the answer."""
        self._recorder.record_head(status, content_type)
        super().on_head(status, content_type)

    def on_data(self, data):
        """Handle the next bytes of the answer."""
        self._recorder.record_data(data)
        super().on_data(data)

    def on_end(self):
        """Handle the end of the answer, and record it if this request owns the run."""
        if not self._is_running:
            self._end_joined()
            return
        self._is_running = False
        self._claim.finish(RunState.RAN, self._recorder.payload())
        super().on_end()

    def on_failed(self, refusal):
        """Handle the failure of an attempt, and record the outcome if this request owns the run."""
        if not self._is_running:
            self._join_failed(refusal)
            return
        self._is_running = False
        if refusal.not_run is not NotRun.TRUE:
            ran = refusal.not_run is NotRun.FALSE
            self._claim.finish(RunState.RAN if ran else RunState.UNKNOWN)
            super().on_failed(refusal)
            return
        freed = self._claim.finish(RunState.NOT_RUN)
        # The request can claim its run again only once the release is committed.
        self._add_callback(freed, lambda _: self._on_failed_not_run(refusal))

    def refuse(self, refusal):
        """Send the final refusal; report not_run as true only if it holds for the whole key."""
        if self.core.ended:
            return
        held = self._claim.held
        if held and not self._is_running:
            self._claim.finish(RunState.NOT_RUN)
        if refusal.not_run is NotRun.TRUE and not self._is_known_not_run(refusal, held):
            refusal = Refusal.of(
                refusal.kind, refusal.message, NotRun.UNKNOWN, refusal.retry_after_ms
            )
        super().refuse(refusal)

    def _is_known_not_run(self, refusal, held):
        return held or self._claim_released or refusal.kind is ErrorKind.KEY_REUSED

    def _on_failed_not_run(self, refusal):
        self._claim_released = True
        super().on_failed(refusal)
        self._claim_released = False

    def _on_claimed_without_place(self, outcome):
        if self.core.ended:
            self._release_claim()
            return
        if outcome.step is ClaimStep.RUN:
            self.coordinator.waiting.enqueue(self)
            return
        self._handle_claim_outcome(outcome)

    def _on_claimed(self, outcome):
        usable = self.coordinator.is_usable(self.replica)
        if outcome.step is ClaimStep.RUN and not self.core.ended and usable:
            self._is_running = True
            self.send_to_agent()
            return
        self._release(AttemptOutcome.NEUTRAL)
        if self.core.ended:
            self._release_claim()
            self.coordinator.closed(self)
            return
        if outcome.step is ClaimStep.RUN:
            freed = self._claim.finish(RunState.NOT_RUN)
            self._add_callback(freed, lambda _: self._queue_unless_ended())
            return
        self._handle_claim_outcome(outcome)

    def _queue_unless_ended(self):
        if not self.core.ended:
            self.queue_again(0.0)

    def _release_claim(self):
        if self._claim.held:
            self._claim.finish(RunState.NOT_RUN)

    def _handle_claim_outcome(self, outcome):
        COUNTERS.increment("entry_claims_met", step=outcome.step.value)
        if outcome.step is ClaimStep.REFUSE:
            self.refuse(outcome.refusal)
            return
        if outcome.step is ClaimStep.ANSWER:
            self._send_stored_answer(outcome.answer)
            return
        if outcome.step is ClaimStep.RECOVER_RAN:
            message = "the request ran before; its answer is no longer kept"
            self._refusal_after_join = Refusal.of(ErrorKind.ALREADY_RAN, message)
        if outcome.step is ClaimStep.RECOVER_UNKNOWN:
            message = "whether the request ran before cannot be told"
            self._refusal_after_join = Refusal.of(ErrorKind.OUTCOME_UNKNOWN, message)
        if not self._join(outcome.position):
            self._join_failed(None)

    def _send_stored_answer(self, answer):
        self._enter_claimed()
        position = StreamPosition(self.request.request_id, "")
        self.reply.head(answer.status, answer.content_type, position)
        self.reply.data(answer.body)
        self._end_joined()

    def _enter_claimed(self):
        if self.core.state in ("received", "waiting", "dispatched"):
            self.life.claim()

    def _join(self, position):
        """Read the answer of the run that holds the claim; return False if its agent is gone."""
        node = self.coordinator.link.table.node_by_id.get(position.node_id) if position else None
        if node is None or node.lost:
            return False
        self._enter_claimed()
        self.attempt = Attempt(self.coordinator, position.request_id, node, self, resumable=True)
        self.attempt.resume()
        return True

    def _join_failed(self, refusal):
        self.attempt = None
        if self.core.ended:
            self.coordinator.closed(self)
            return
        if self.reply.has_started:
            self.refuse(refusal)
            return
        if self._refusal_after_join is not None:
            self.refuse(self._refusal_after_join)
            return
        self.reply.reset()
        self._requeue_timer = self.coordinator.clock.callLater(JOIN_POLL_S, self._claim_again)

    def _claim_again(self):
        self._requeue_timer = None
        self._add_callback(self._claim.claim(), self._on_claimed_without_place)

    def _end_joined(self):
        self.attempt = None
        if self.core.ended:
            self.coordinator.closed(self)
            return
        self.life.answer()
        self._end()
        self.reply.end()

    def _stop_run(self):
        if self.attempt is not None and not self._is_running:
            # The run belongs to another request: stop reading it, but don't cancel it.
            self.attempt.close()
            self.attempt = None
        super()._stop_run()

    def _not_run_so_far(self, has_head):
        if has_head:
            return NotRun.FALSE
        return NotRun.TRUE if self._claim.held and not self._is_running else NotRun.UNKNOWN

    def _add_callback(self, deferred, callback):
        deferred.addCallback(callback)
        deferred.addErrback(self._on_internal_error)

    def _on_internal_error(self, failure):
        self.coordinator.report_internal_error(failure)
        self.refuse(Refusal.of(ErrorKind.INTERNAL, "internal error"))
