"""Hand leadership over to the member that is furthest."""

from hemlockdock_control.consensus.member_state import NEVER_MS
from hemlockdock_control.consensus.messages import TimeoutNow


def is_in_progress(state):
    """Tell whether a handover is under way.

    Parameters
    ----------
    state : MemberState

    Returns
    -------
    bool
    """
    return state.is_leader and state.transfer_due_ms != NEVER_MS


def accepts_proposals(state):
    """Tell whether commands are appended now.

    Parameters
    ----------
    state : MemberState

    Returns
    -------
    bool
    """
    return state.leadership_established and not is_in_progress(state)


def start(state, now_ms):
    """Take no more proposals, and ask a member that holds the whole log to lead.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    if not state.is_leader or is_in_progress(state):
        return
    state.transfer_due_ms = now_ms + state.timing.election_ms
    try_transfer(state, now_ms)


def try_transfer(state, now_ms):
    """Ask a member that holds the whole log to lead, once there is one.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    if not is_in_progress(state) or state.lease_released:
        return
    for voter_id in state.configuration.voter_ids:
        if voter_id == state.member_id:
            continue
        progress = state.progress_by_id.get(voter_id)
        if progress is None or progress.match_index < state.log.last_index:
            continue
        if now_ms - progress.replied_ms >= state.timing.election_ms:
            continue
        # The request may arrive at any later time, so the lease is not taken up again.
        state.lease_released = True
        state.send(voter_id, TimeoutNow(state.term), after_sync=False)
        return


def abort_if_overdue(state, now_ms):
    """Lead on where nobody was asked in time, and stop leading where one was but did not.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    if not is_in_progress(state) or now_ms < state.transfer_due_ms:
        return
    state.transfer_due_ms = NEVER_MS
    if state.lease_released:
        # Without a lease for the rest of the term, a new term serves reads sooner.
        state.become_follower(state.term, "", now_ms)
