"""Validation of membership changes, which add, promote or remove one member at a time."""

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatch

from result import Err, Ok

from hemlockdock_control.consensus.configuration import Member
from hemlockdock_control.consensus.progress import ProgressMode


@dataclass(frozen=True, slots=True)
class AddNonVoter:
    """Add a member as a non-voter, which counts towards no quorum.

    Attributes
    ----------
    member_id : str
    folder_id : str
    address : str
    """

    member_id: str
    folder_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Promote:
    """Make a non-voter that holds all committed entries a voter.

    Attributes
    ----------
    member_id : str
    """

    member_id: str


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a member.

    Attributes
    ----------
    member_id : str
    """

    member_id: str


class ChangeRefusal(StrEnum):
    """The reason why a membership change is refused."""

    NOT_LEADER = "this member does not lead, or has not yet committed in its term"
    CHANGE_IN_PROGRESS = "another change of members is under way"
    ALREADY_MEMBER = "a member of that id is there already; remove it first"
    NOT_HEARD = "no process with that member id has said hello"
    UNKNOWN_MEMBER = "there is no such member"
    ALREADY_VOTER = "that member is no non-voter"
    CATCHING_UP = "that member has not caught up with the log"
    LAST_VOTER = "the last voter cannot be removed"
    QUORUM_LOST = "too few of the remaining voters reply"


@singledispatch
def validate(change, state, now_ms):
    """Validate a membership change and return the resulting configuration.

    A change is refused while another one is in progress, and until the leader has committed an
    entry of its own term. A change of the voters is also refused if the responsive voters of the
    resulting configuration would not make a quorum.

    Parameters
    ----------
    change : AddNonVoter, Promote or Remove
    state : MemberState
    now_ms : float

    Returns
    -------
    result.Result of Configuration or ChangeRefusal
    """
    raise TypeError(f"no such change: {change!r}")


@validate.register
def _(change: AddNonVoter, state, now_ms):
    refusal = _refusal(state)
    if refusal is not None:
        return Err(refusal)
    if state.configuration.find(change.member_id) is not None:
        return Err(ChangeRefusal.ALREADY_MEMBER)
    member = Member(change.member_id, change.folder_id, change.address, False)
    return Ok(state.configuration.with_member(member))


@validate.register
def _(change: Promote, state, now_ms):
    refusal = _refusal(state)
    if refusal is not None:
        return Err(refusal)
    member = state.configuration.find(change.member_id)
    if member is None:
        return Err(ChangeRefusal.UNKNOWN_MEMBER)
    if member.voter:
        return Err(ChangeRefusal.ALREADY_VOTER)
    if not _has_caught_up(state, change.member_id, now_ms):
        return Err(ChangeRefusal.CATCHING_UP)
    voter = Member(change.member_id, member.folder_id, member.address, True)
    return _require_quorum(state, state.configuration.with_member(voter), now_ms)


@validate.register
def _(change: Remove, state, now_ms):
    refusal = _refusal(state)
    if refusal is not None:
        return Err(refusal)
    member = state.configuration.find(change.member_id)
    if member is None:
        return Err(ChangeRefusal.UNKNOWN_MEMBER)
    configuration = state.configuration.without(change.member_id)
    if not configuration.voter_ids:
        return Err(ChangeRefusal.LAST_VOTER)
    if not member.voter:
        return Ok(configuration)
    return _require_quorum(state, configuration, now_ms)


def replacement_steps(old_id, new_id, state, now_ms):
    """Return the changes that put a non-voter in the place of a voter.

    A voter that replies is removed after its successor was promoted. One that does not is removed
    before: the other voters then make the same quorum, and the successor may fail as well.

    Parameters
    ----------
    old_id, new_id : str
    state : MemberState
    now_ms : float

    Returns
    -------
    result.Result of tuple or ChangeRefusal
    """
    promotion = Promote(new_id)
    removal = Remove(old_id)
    if _is_responsive(state, old_id, now_ms):
        return Ok((promotion, removal))
    validated = validate(promotion, state, now_ms)
    if validated.is_err():
        return validated
    return Ok((removal, promotion))


def _refusal(state):
    if not state.is_leader or state.commit_index < state.term_start_index:
        return ChangeRefusal.NOT_LEADER
    if state.configuration_index > state.commit_index:
        return ChangeRefusal.CHANGE_IN_PROGRESS
    return None


def _has_caught_up(state, member_id, now_ms):
    progress = state.progress_by_id.get(member_id)
    if progress is None or progress.mode is not ProgressMode.PIPELINE:
        return False
    if progress.match_index < state.commit_index:
        return False
    return _is_responsive(state, member_id, now_ms)


def _require_quorum(state, configuration, now_ms):
    responsive = [m for m in configuration.voter_ids if _is_responsive(state, m, now_ms)]
    if len(responsive) < configuration.quorum:
        return Err(ChangeRefusal.QUORUM_LOST)
    return Ok(configuration)


def _is_responsive(state, member_id, now_ms):
    if member_id == state.member_id:
        return True
    progress = state.progress_by_id.get(member_id)
    if progress is None:
        return False
    return now_ms - progress.replied_ms < state.timing.election_ms
