"""Membership changes that operators request."""

from twisted.internet.defer import fail
from twisted.internet.task import deferLater

from hemlockdock_control.consensus.errors import ChangeRefusedError, NotLeaderError
from hemlockdock_control.consensus.member_changes import (
    AddNonVoter,
    ChangeRefusal,
    Promote,
    Remove,
    replacement_steps,
)

# For the successor of a removed member, which may not hold the removal yet.
PROMOTION_ATTEMPTS = 20
PROMOTION_INTERVAL_S = 0.1


class MemberRequests:
    """Carries out the membership changes that operators request.

    Each method returns a Deferred that fires with None once the change is committed. It fails with
    ChangeRefusedError, NotLeaderError or UnknownOutcomeError.

    Parameters
    ----------
    reactor : twisted reactor
    hellos : callable
        Returns the latest hello of each process, by member id.
    state : callable
        Returns the MemberState, or None while there is none.
    change : callable
        Called with a change; returns such a Deferred.
    now_ms : callable
    """

    def __init__(self, reactor, hellos, state, change, now_ms):
        self._reactor = reactor
        self._hellos = hellos
        self._state = state
        self._change = change
        self._now_ms = now_ms

    def add(self, member_id):
        """Add a running member that has sent a hello, as a non-voter.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Deferred
        """
        hello = self._hellos().get(member_id)
        if hello is None:
            return fail(ChangeRefusedError(ChangeRefusal.NOT_HEARD))
        return self._change(AddNonVoter(member_id, hello.folder_id, hello.address))

    def promote(self, member_id):
        """Make a non-voter that has caught up a voter.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Deferred
        """
        return self._change(Promote(member_id))

    def remove(self, member_id):
        """Remove a member.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Deferred
        """
        return self._change(Remove(member_id))

    def replace(self, old_id, new_id):
        """Put a non-voter that has caught up in the place of a member.

        Parameters
        ----------
        old_id : str
        new_id : str

        Returns
        -------
        Deferred
        """
        state = self._state()
        if state is None:
            return fail(NotLeaderError(""))
        steps = replacement_steps(old_id, new_id, state, self._now_ms())
        if steps.is_err():
            return fail(ChangeRefusedError(steps.err()))
        first, second = steps.ok()
        changed = self._change(first)
        return changed.addCallback(lambda _: self._repeat(second, PROMOTION_ATTEMPTS))

    def _repeat(self, change, attempts):
        changed = self._change(change)
        if attempts > 1:
            changed.addErrback(self._try_again, change, attempts - 1)
        return changed

    def _try_again(self, failure, change, attempts):
        failure.trap(ChangeRefusedError)
        if failure.value.reason is not ChangeRefusal.CATCHING_UP:
            return failure
        later = deferLater(self._reactor, PROMOTION_INTERVAL_S)
        return later.addCallback(lambda _: self._repeat(change, attempts))
