"""Claim the run of a run-once request and record its outcome."""

import hashlib

from hemlockdock_core.commands import ClaimRun, FinishRun, RunState
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_entry.run_once import ClaimOutcome, ClaimStep, decide_claim


class OnceClaim:
    """Claim on the run of a run-once request, which can be released and claimed again.

    Parameters
    ----------
    coordinator : RequestCoordinator
    request : Request

    Attributes
    ----------
    held : bool
        Whether control has committed this claim and its outcome has not been recorded.
    """

    def __init__(self, coordinator, request):
        self.held = False
        self._coordinator = coordinator
        self._request = request
        self._claim_number = 0
        key = f"{request.caller}\n{request.key}".encode()
        self._key_hash = hashlib.sha256(key).hexdigest()

    @property
    def claim_id(self):
        """Return the id of the latest claim."""
        return f"{self._request.request_id}.{self._claim_number}"

    def claim(self, position=None):
        """Propose a claim on the run to control.

        Parameters
        ----------
        position : StreamPosition, optional
            Where the answer will be readable, if known.

        Returns
        -------
        twisted.internet.defer.Deferred of ClaimOutcome
        """
        self._claim_number += 1
        stream_id = position.stream_id if position else f"{self.claim_id}@"
        command = ClaimRun(
            self._key_hash,
            self._request.fingerprint,
            self._coordinator.node_id,
            self._coordinator.incarnation,
            self.claim_id,
            stream_id,
            self._request.retention_s,
            self._coordinator.wall_ms(),
        )
        left_ms = self._request.left_ms(self._coordinator.clock.seconds())
        timeout_ms = max(1, min(left_ms, self._coordinator.settings.entry.claim_timeout_ms))
        answered = self._coordinator.link.propose(command, timeout_ms)
        answered.addCallbacks(
            self._on_claim_result, self._on_unavailable, callbackArgs=(stream_id,)
        )
        return answered

    def finish(self, state, answer=b""):
        """Record the outcome of the run, retrying while control is unavailable.

        Parameters
        ----------
        state : RunState
        answer : bytes, optional

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires once the outcome is committed.
        """
        self.held = False
        command = FinishRun(
            self._key_hash, self.claim_id, state, answer, self._coordinator.wall_ms()
        )
        return self._coordinator.command_retrier.run(command)

    def _on_claim_result(self, result, stream_id):
        outcome = decide_claim(result, self._coordinator.node_id, stream_id)
        self.held = outcome.step is ClaimStep.RUN
        return outcome

    def _on_unavailable(self, failure):
        failure.trap(ControlUnavailableError)
        # The claim may have been committed although no reply arrived. Nothing ran under it, so
        # release it.
        self.finish(RunState.NOT_RUN)
        message = "control did not answer in time; nothing was sent"
        refusal = Refusal.of(ErrorKind.NO_CONTROL, message, NotRun.UNKNOWN)
        return ClaimOutcome(ClaimStep.REFUSE, refusal=refusal)
