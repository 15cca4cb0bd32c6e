"""Add, promote, remove and replace control members."""

from twisted.internet.defer import inlineCallbacks

from hemlockdock_control.consensus import (
    ChangeRefusedError,
    NotLeaderError,
    UnknownOutcomeError,
)
from hemlockdock_core.commands import RecordMembers
from hemlockdock_core.errors import ErrorKind, Refusal


class MemberChanges:
    """Change the members through the leader and record each change in the audit trail.

    Parameters
    ----------
    replicator : Replicator
    proposer : Proposer
    """

    def __init__(self, replicator, proposer):
        self._replicator = replicator
        self._proposer = proposer

    def add(self, operator, member_id):
        """Add a member as a non-voter.

        Parameters
        ----------
        operator : str
            Operator's name.
        member_id : str

        Returns
        -------
        Deferred of dict or Refusal
        """
        return self._change(operator, member_id, self._replicator.member_requests.add, member_id)

    def promote(self, operator, member_id):
        """Make a non-voter a voter; see ``add``."""
        return self._change(
            operator, member_id, self._replicator.member_requests.promote, member_id
        )

    def remove(self, operator, member_id):
        """Remove a member; see ``add``."""
        return self._change(operator, member_id, self._replicator.member_requests.remove, member_id)

    def replace(self, operator, old_id, new_id):
        """Replace a member with a non-voter; see ``add``."""
        return self._change(
            operator, old_id, self._replicator.member_requests.replace, old_id, new_id
        )

    @inlineCallbacks
    def _change(self, operator, member_id, change, *arguments):
        before = self._member_ids()
        try:
            yield change(*arguments)
        except ChangeRefusedError as error:
            return Refusal.of(ErrorKind.CONFLICT, str(error))
        except NotLeaderError as error:
            return Refusal.of(ErrorKind.NO_CONTROL, str(error))
        except UnknownOutcomeError as error:
            return Refusal.of(ErrorKind.OUTCOME_UNKNOWN, str(error))
        after = self._member_ids()
        result = yield self._proposer.propose(RecordMembers(operator, member_id, before, after, 0))
        return {"members": after, "revision": result.revision}

    def _member_ids(self):
        members = self._replicator.configuration.members
        texts = [item.member_id + ("" if item.voter else " (non-voter)") for item in members]
        return ", ".join(texts)
