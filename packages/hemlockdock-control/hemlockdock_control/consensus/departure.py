"""The steps by which a member hands over what it holds before its process ends."""

from enum import Enum

# Enough for a new leader to be elected in the meantime, in a second attempt.
HANDOVER_ELECTIONS = 10


class DepartureStep(Enum):
    """What a member that leaves does next."""

    LEAD = "lead"
    TRANSFER_LEADERSHIP = "transfer leadership"
    HAND_OVER_VOTE = "hand over vote"
    CLOSE = "close"


class Departure:
    """Decides what a member that leaves does next.

    A leader transfers its leadership first, to a voter that stays: members that leave at the same
    time would pass it on among themselves. While no other voter stays, it leads on and replaces
    them. A voter then waits until a non-voter has taken its place, if there is one; a member that
    only restarts and has no successor remains a voter.

    Parameters
    ----------
    timing : Timing
    can_be_replaced : bool
        Whether the leader replaces voters that leave.
    now_ms : float

    Attributes
    ----------
    is_replaced : bool
        Whether the cluster is known to have committed a configuration without this member.
    """

    def __init__(self, timing, can_be_replaced, now_ms):
        self.is_replaced = False
        self._can_be_replaced = can_be_replaced
        self._transfer_until_ms = now_ms + timing.election_ms
        self._hand_over_until_ms = now_ms + HANDOVER_ELECTIONS * timing.election_ms

    def next_step(self, state, leaving_ids, now_ms):
        """Return the next step.

        Parameters
        ----------
        state : MemberState
        leaving_ids : set of str
            Other members that leave.
        now_ms : float

        Returns
        -------
        DepartureStep
        """
        if state.is_leader:
            return self._next_step_of_leader(state, leaving_ids, now_ms)
        if self.is_replaced or not self._has_successor(state):
            return DepartureStep.CLOSE
        if now_ms < self._hand_over_until_ms:
            return DepartureStep.HAND_OVER_VOTE
        return DepartureStep.CLOSE

    def record_committed(self, state, hello):
        """Record what another member knows to be committed.

        Parameters
        ----------
        state : MemberState
        hello : Hello
        """
        is_newer = hello.committed_index > state.configuration_index
        if is_newer and hello.members.find(state.member_id) is None:
            self.is_replaced = True

    def _next_step_of_leader(self, state, leaving_ids, now_ms):
        has_successor = self._has_successor(state)
        until_ms = self._hand_over_until_ms if has_successor else self._transfer_until_ms
        if len(state.configuration.voter_ids) == 1 or now_ms >= until_ms:
            return DepartureStep.CLOSE
        if has_successor and not _voter_stays(state, leaving_ids, now_ms):
            return DepartureStep.LEAD
        return DepartureStep.TRANSFER_LEADERSHIP

    def _has_successor(self, state):
        if not self._can_be_replaced or not state.is_voter:
            return False
        if any(not member.voter for member in state.configuration.members):
            return True
        # One that has just been promoted makes the number of voters even until a voter is removed.
        return len(state.configuration.voter_ids) % 2 == 0


def _voter_stays(state, leaving_ids, now_ms):
    for voter_id in state.configuration.voter_ids:
        if voter_id == state.member_id or voter_id in leaving_ids:
            continue
        if now_ms - state.heard_ms(voter_id) < state.timing.election_ms:
            return True
    return False
