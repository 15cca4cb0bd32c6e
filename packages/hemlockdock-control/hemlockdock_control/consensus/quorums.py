"""Leader lease and contact with a quorum of voters."""

from hemlockdock_control.consensus.member_state import NEVER_MS


def lease_expiry_ms(state, now_ms):
    """Return the time until which no other member can become leader.

    Parameters
    ----------
    state : MemberState
    now_ms : float

    Returns
    -------
    float
    """
    if not state.is_leader or state.lease_released:
        return NEVER_MS
    return _quorum_timestamp(state, "acked_ms", now_ms) + state.timing.lease_ms


def has_quorum_contact(state, now_ms):
    """Return whether a quorum of voters replied within the election timeout.

    Parameters
    ----------
    state : MemberState
    now_ms : float

    Returns
    -------
    bool
    """
    return now_ms - quorum_contact_ms(state, now_ms) < state.timing.election_ms


def quorum_contact_ms(state, now_ms):
    """Return the latest time since which a quorum of voters has replied.

    It is never earlier than the start of this member's leadership.

    Parameters
    ----------
    state : MemberState
    now_ms : float

    Returns
    -------
    float
    """
    return max(_quorum_timestamp(state, "replied_ms", now_ms), state.leading_since_ms)


def _quorum_timestamp(state, attribute, now_ms):
    times = []
    for voter_id in state.configuration.voter_ids:
        if voter_id == state.member_id:
            times.append(now_ms)
        else:
            times.append(getattr(state.progress_of(voter_id), attribute))
    times.sort(reverse=True)
    return times[state.configuration.quorum - 1]
