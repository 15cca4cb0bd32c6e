"""Proposals that wait for their entries to be committed."""

from twisted.internet.defer import Deferred

from hemlockdock_control.consensus.errors import NotLeaderError, UnknownOutcomeError


class PendingProposals:
    """The proposals whose entries are not committed yet, by log index."""

    def __init__(self):
        self._proposal_by_index = {}

    def __len__(self):
        return len(self._proposal_by_index)

    def add(self, index, term, deferred: Deferred):
        """Add a proposal.

        Parameters
        ----------
        index : int
        term : int
        deferred : Deferred
        """
        self._proposal_by_index[index] = (term, deferred)

    def resolve(self, entry, result):
        """Fire the Deferred of a committed entry.

        Parameters
        ----------
        entry : LogEntry
        result : object
        """
        proposal = self._proposal_by_index.pop(entry.index, None)
        if proposal is None:
            return
        term, deferred = proposal
        if term == entry.term:
            deferred.callback(result)
            return
        # Another leader's entry was committed at this index, so the command never will be.
        deferred.errback(NotLeaderError(""))

    def fail_all(self):
        """Fail all proposals with UnknownOutcomeError."""
        proposals = self._proposal_by_index
        self._proposal_by_index = {}
        for _, deferred in proposals.values():
            deferred.errback(UnknownOutcomeError())
