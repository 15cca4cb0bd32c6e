"""Hand each proposer the outcome of its command."""

from twisted.internet.defer import Deferred

from hemlockdock_control.consensus.errors import NotLeaderError, UnknownOutcomeError


class PendingProposals:
    """Keep the proposers of entries that are not committed yet."""

    def __init__(self):
        self._waiting_by_index = {}

    def __len__(self):
        return len(self._waiting_by_index)

    def add(self, index, term, deferred: Deferred):
        """Keep a proposer.

        Parameters
        ----------
        index : int
        term : int
        deferred : Deferred
        """
        self._waiting_by_index[index] = (term, deferred)

    def resolve(self, entry, result):
        """Hand over the result of a committed entry.

        Parameters
        ----------
        entry : LogEntry
        result : object
        """
        waiting = self._waiting_by_index.pop(entry.index, None)
        if waiting is None:
            return
        term, deferred = waiting
        if term == entry.term:
            deferred.callback(result)
            return
        # Another leader's entry stands in its place, so the command can never be committed.
        deferred.errback(NotLeaderError(""))

    def fail_all(self):
        """Tell every proposer that the outcome is not known."""
        waiting = self._waiting_by_index
        self._waiting_by_index = {}
        for _, deferred in waiting.values():
            deferred.errback(UnknownOutcomeError())
