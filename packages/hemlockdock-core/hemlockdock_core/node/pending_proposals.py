"""Track proposals until they are answered."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from hemlockdock_core.messages import Proposal
from hemlockdock_core.node.control_unavailable import ControlUnavailableError


@dataclass(slots=True)
class _Pending:
    proposal: Proposal
    answered: Deferred
    give_up_s: float
    repeat_s: float


class PendingProposals:
    """Track proposals until they are answered or given up.

    Parameters
    ----------
    prefix : str
        Makes ids unique over nodes and incarnations.
    repeat_after_s : float
    """

    def __init__(self, prefix, repeat_after_s):
        self._prefix = prefix
        self._repeat_after_s = repeat_after_s
        self._count = 0
        self._pending_by_id = {}

    def add(self, command, now_s, timeout_s):
        """Start tracking a command.

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
        answered = Deferred()
        self._pending_by_id[proposal.proposal_id] = _Pending(
            proposal, answered, now_s + timeout_s, now_s + self._repeat_after_s
        )
        return proposal, answered

    def answer(self, message):
        """Answer the proposal that a result belongs to; a late result is passed over.

        Parameters
        ----------
        message : ProposalResult
        """
        pending = self._pending_by_id.pop(message.proposal_id, None)
        if pending is not None:
            pending.answered.callback(message.result)

    def due(self, now_s):
        """Give up what is over its time and return what is to be sent again.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Proposal
        """
        again = []
        for proposal_id, pending in list(self._pending_by_id.items()):
            if now_s >= pending.give_up_s:
                del self._pending_by_id[proposal_id]
                pending.answered.errback(ControlUnavailableError("no answer from control in time"))
                continue
            if now_s < pending.repeat_s:
                continue
            pending.repeat_s = now_s + self._repeat_after_s
            again.append(pending.proposal)
        return again

    def all(self):
        """Return every proposal that is not answered, for sending to another member."""
        return [pending.proposal for pending in self._pending_by_id.values()]

    def close(self):
        """Give up every proposal."""
        for proposal_id in list(self._pending_by_id):
            pending = self._pending_by_id.pop(proposal_id)
            pending.answered.errback(ControlUnavailableError("the process is stopping"))
