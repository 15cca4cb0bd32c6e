"""Claim the one run of a request and record how it ended."""

import hashlib

from hemlockdock_core.commands import ClaimRun, FinishRun, RunState
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_entry.run_once import ClaimOutcome, ClaimStep, decide_claim


class OnceClaim:
    """Claim the one run of a request, as often as needed, and record how it ended.

    Parameters
    ----------
    coordinator : RequestCoordinator
    request : Request

    Attributes
    ----------
    held : bool
        Whether the quorum has committed this entry's claim and no end of it.
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

    def claim(self, place=None):
        """Ask the quorum for the one run.

        Parameters
        ----------
        place : StreamPlace, optional
            Where the answer will be readable, if that is known yet.

        Returns
        -------
        twisted.internet.defer.Deferred of ClaimOutcome
        """
        self._claim_number += 1
        stream_id = place.stream_id if place else f"{self.claim_id}@"
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
        answered.addCallbacks(self._claimed, self._unavailable, callbackArgs=(stream_id,))
        return answered

    def finish(self, state, answer=b""):
        """Record how the run ended, however long control is out of reach.

        Parameters
        ----------
        state : RunState
        answer : bytes, optional

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires once it is committed.
        """
        self.held = False
        command = FinishRun(
            self._key_hash, self.claim_id, state, answer, self._coordinator.wall_ms()
        )
        return self._coordinator.background.run(command)

    def _claimed(self, result, stream_id):
        outcome = decide_claim(result, self._coordinator.node_id, stream_id)
        self.held = outcome.step is ClaimStep.RUN
        return outcome

    def _unavailable(self, failure):
        failure.trap(ControlUnavailableError)
        # The claim may have been committed after all; nothing has run under it, so free it.
        self.finish(RunState.NOT_RUN)
        message = "control did not answer in time; nothing was sent"
        refusal = Refusal.of(ErrorKind.NO_CONTROL, message, NotRun.UNKNOWN)
        return ClaimOutcome(ClaimStep.REFUSE, refusal=refusal)
