"""Decide changes of members, one member at a time."""

from enum import StrEnum

from result import Err, Ok

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.progress import ProgressMode


class ChangeRefusal(StrEnum):
    """Say why a change of members is refused."""

    NOT_LEADER = "this member does not lead, or has not yet committed in its term"
    UNDER_WAY = "another change of members is under way"
    KNOWN_MEMBER = "a member of that id is there already; remove it first"
    NOT_HEARD = "no process with that member id has said hello"
    UNKNOWN_MEMBER = "there is no such member"
    NO_NON_VOTER = "that member is no non-voter"
    CATCHING_UP = "that member has not caught up with the log"
    LAST_VOTER = "the last voter cannot be removed"
    QUORUM_LOST = "too few of the remaining voters reply"


def add_non_voter(state, member_id, folder_id, address):
    """Decide whether a member may be added that counts towards no quorum.

    Parameters
    ----------
    state : MemberState
    member_id : str
    folder_id : str
    address : str

    Returns
    -------
    result.Result of Configuration or ChangeRefusal
    """
    refusal = _refusal(state)
    if refusal is not None:
        return Err(refusal)
    if state.configuration.find(member_id) is not None:
        return Err(ChangeRefusal.KNOWN_MEMBER)
    return Ok(state.configuration.with_member(Member(member_id, folder_id, address, False)))


def promote(state, member_id, now_ms):
    """Decide whether a non-voter may become a voter.

    It must hold all that is committed, and with it a quorum must reply: else the loss of one
    more host right after would stop the cluster.

    Parameters
    ----------
    state : MemberState
    member_id : str
    now_ms : float

    Returns
    -------
    result.Result of Configuration or ChangeRefusal
    """
    refusal = _refusal(state)
    if refusal is not None:
        return Err(refusal)
    member = state.configuration.find(member_id)
    if member is None:
        return Err(ChangeRefusal.UNKNOWN_MEMBER)
    if member.voter:
        return Err(ChangeRefusal.NO_NON_VOTER)
    if not _has_caught_up(state, member_id, now_ms):
        return Err(ChangeRefusal.CATCHING_UP)
    voter = Member(member_id, member.folder_id, member.address, True)
    configuration = state.configuration.with_member(voter)
    if not _quorum_replies(state, configuration, now_ms):
        return Err(ChangeRefusal.QUORUM_LOST)
    return Ok(configuration)


def remove(state, member_id, now_ms):
    """Decide whether a member may be removed.

    Parameters
    ----------
    state : MemberState
    member_id : str
    now_ms : float

    Returns
    -------
    result.Result of Configuration or ChangeRefusal
    """
    refusal = _refusal(state)
    if refusal is not None:
        return Err(refusal)
    if state.configuration.find(member_id) is None:
        return Err(ChangeRefusal.UNKNOWN_MEMBER)
    configuration = state.configuration.without(member_id)
    if not configuration.voter_ids:
        return Err(ChangeRefusal.LAST_VOTER)
    if not _quorum_replies(state, configuration, now_ms):
        return Err(ChangeRefusal.QUORUM_LOST)
    return Ok(configuration)


def _refusal(state):
    if not state.is_leader or state.commit_index < state.term_start_index:
        return ChangeRefusal.NOT_LEADER
    if state.configuration_index > state.commit_index:
        return ChangeRefusal.UNDER_WAY
    return None


def _has_caught_up(state, member_id, now_ms):
    progress = state.progress_by_id.get(member_id)
    if progress is None or progress.mode is not ProgressMode.PIPELINE:
        return False
    if progress.match_index < state.commit_index:
        return False
    return _replies(state, member_id, now_ms)


def _quorum_replies(state, configuration: Configuration, now_ms):
    replying = [m for m in configuration.voter_ids if _replies(state, m, now_ms)]
    return len(replying) >= configuration.quorum


def _replies(state, member_id, now_ms):
    if member_id == state.member_id:
        return True
    progress = state.progress_by_id.get(member_id)
    if progress is None:
        return False
    return now_ms - progress.replied_ms < state.timing.election_ms
