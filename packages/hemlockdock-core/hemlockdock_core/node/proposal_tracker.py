"""Proposals that control has not answered yet."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from hemlockdock_core.messages import Proposal
from hemlockdock_core.node.control_unavailable import ControlUnavailableError


@dataclass(slots=True)
class _Pending:
    proposal: Proposal
    deferred: Deferred
    deadline_s: float
    retry_s: float


class ProposalTracker:
    """The proposals that are neither answered nor timed out.

    Parameters
    ----------
    prefix : str
        Prefix that makes proposal ids unique over nodes and incarnations.
    retry_after_s : float
        Time after which an unanswered proposal is resent.
    """

    def __init__(self, prefix, retry_after_s):
        self._prefix = prefix
        self._retry_after_s = retry_after_s
        self._count = 0
        self._pending_by_id = {}

    def add(self, command, now_s, timeout_s):
        """Add a proposal for a command.

        Parameters
        ----------
        command : Command
        now_s : float
        timeout_s : float

        Returns
        -------
        tuple of (Proposal, twisted.internet.defer.Deferred)
        """
        self._count += 1
        proposal = Proposal(f"{self._prefix}-{self._count}", command)
        deferred = Deferred()
        self._pending_by_id[proposal.proposal_id] = _Pending(
            proposal, deferred, now_s + timeout_s, now_s + self._retry_after_s
        )
        return proposal, deferred

    def resolve(self, message):
        """Fire the Deferred of an answered proposal; a late answer is ignored.

        Parameters
        ----------
        message : ProposalResult
        """
        pending = self._pending_by_id.pop(message.proposal_id, None)
        if pending is not None:
            pending.deferred.callback(message.result)

    def expire_and_get_due(self, now_s):
        """Fail the proposals that timed out and return those to resend.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Proposal
        """
        to_resend = []
        for proposal_id, pending in list(self._pending_by_id.items()):
            if now_s >= pending.deadline_s:
                del self._pending_by_id[proposal_id]
                pending.deferred.errback(
                    ControlUnavailableError("no answer from control before the timeout")
                )
                continue
            if now_s < pending.retry_s:
                continue
            pending.retry_s = now_s + self._retry_after_s
            to_resend.append(pending.proposal)
        return to_resend

    def all(self):
        """Return all pending proposals."""
        return [pending.proposal for pending in self._pending_by_id.values()]

    def close(self):
        """Fail all pending proposals."""
        for proposal_id in list(self._pending_by_id):
            pending = self._pending_by_id.pop(proposal_id)
            pending.deferred.errback(ControlUnavailableError("the process is stopping"))
