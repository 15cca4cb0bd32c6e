"""Transfer of leadership to a voter that holds the whole log."""

from hemlockdock_control.consensus.member_state import NEVER_MS
from hemlockdock_control.consensus.messages import TimeoutNow


def is_in_progress(state):
    """Return whether a leadership transfer is in progress.

    Parameters
    ----------
    state : MemberState

    Returns
    -------
    bool
    """
    return state.is_leader and state.transfer_deadline_ms != NEVER_MS


def accepts_proposals(state):
    """Return whether this member accepts proposals now.

    Parameters
    ----------
    state : MemberState

    Returns
    -------
    bool
    """
    return state.leadership_established and not is_in_progress(state)


def start(state, avoided_ids, now_ms):
    """Stop accepting proposals and start a leadership transfer.

    Parameters
    ----------
    state : MemberState
    avoided_ids : frozenset of str
        Members that must not take over.
    now_ms : float
    """
    if not state.is_leader or is_in_progress(state):
        return
    state.transfer_avoided_ids = avoided_ids
    state.transfer_deadline_ms = now_ms + state.timing.election_ms
    try_transfer(state, now_ms)


def try_transfer(state, now_ms):
    """Ask a voter that holds the whole log to start an election, if there is one.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    if not is_in_progress(state) or state.lease_released:
        return
    for voter_id in state.configuration.voter_ids:
        if voter_id == state.member_id or voter_id in state.transfer_avoided_ids:
            continue
        progress = state.progress_by_id.get(voter_id)
        if progress is None or progress.match_index < state.log.last_index:
            continue
        if now_ms - progress.replied_ms >= state.timing.election_ms:
            continue
        # The message may be delivered arbitrarily late, so the lease is not resumed in this term.
        state.lease_released = True
        message = TimeoutNow(state.term, _silent_members(state, now_ms))
        state.send(voter_id, message, after_sync=False)
        return


def abort_if_overdue(state, now_ms):
    """Abort a transfer that is past its deadline.

    If no voter was asked in time, this member accepts proposals again. If one was asked but did
    not take over, this member steps down.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    if not is_in_progress(state) or now_ms < state.transfer_deadline_ms:
        return
    state.transfer_deadline_ms = NEVER_MS
    if state.lease_released:
        # This term has no lease any more, so reads are served sooner in a new term.
        state.become_follower(state.term, "", now_ms)


def _silent_members(state, now_ms):
    silent_ms_by_id = {}
    for member_id in state.progress_by_id:
        silent_ms = now_ms - state.heard_ms(member_id)
        if silent_ms >= state.timing.election_ms:
            silent_ms_by_id[member_id] = silent_ms
    return silent_ms_by_id
