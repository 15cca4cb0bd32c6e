"""Rules for automatic membership changes in a fleet."""

from dataclasses import dataclass

from hemlockdock_control.consensus.member_changes import AddNonVoter, Promote, Remove

# A joining process sends several hellos within this time.
HELLO_EXPIRY_MS = 2_000.0
# Longer than a restart or an election, so that only hosts that stay away are replaced.
VOTER_REMOVAL_TIMEOUT_MS = 3_000.0
NON_VOTER_REMOVAL_TIMEOUT_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class MemberSetView:
    """The leader's view of the members and of the processes that want to join.

    Attributes
    ----------
    own_id : str
    configuration : Configuration
    received_hello_by_id : dict of str to ReceivedHello
    silent_ms_by_id : dict of str to float
        Time since the last reply of each other member.
    caught_up : set of str
        Ids of the members that hold all committed entries.
    now_ms : float
    """

    own_id: str
    configuration: object
    received_hello_by_id: dict
    silent_ms_by_id: dict
    caught_up: set
    now_ms: float


def next_change(view):
    """Return the next membership change, or None if none is needed.

    A member whose address is now used by another one has lost its folder and is removed first.
    New members join as non-voters and are promoted once they have caught up. A silent voter is
    removed only if the number of voters is even, which means that its replacement already votes.

    Parameters
    ----------
    view : MemberSetView

    Returns
    -------
    AddNonVoter, Promote, Remove or None
    """
    hellos = _recent_hellos(view)
    for member in view.configuration.members:
        if member.member_id != view.own_id and _is_superseded(member, hellos):
            return Remove(member.member_id)
    for member_id, hello in hellos.items():
        if view.configuration.find(member_id) is None and not _is_stale_hello(member_id, view):
            return AddNonVoter(member_id, hello.folder_id, hello.address)
    for member in view.configuration.members:
        if not member.voter and member.member_id in view.caught_up:
            return Promote(member.member_id)
    return _removal_of_silent_member(view)


def _recent_hellos(view):
    hellos = {}
    for member_id, received in view.received_hello_by_id.items():
        if view.now_ms - received.received_ms <= HELLO_EXPIRY_MS:
            hellos[member_id] = received.hello
    return hellos


def _is_superseded(member, hellos):
    for member_id, hello in hellos.items():
        if hello.address == member.address and member_id != member.member_id:
            return True
    return False


def _is_stale_hello(member_id, view):
    # The hello was sent before another process took over the address.
    received = view.received_hello_by_id[member_id]
    for other_id, other in view.received_hello_by_id.items():
        same_address = other.hello.address == received.hello.address
        if other_id != member_id and same_address and other.received_ms > received.received_ms:
            return True
    return False


def _removal_of_silent_member(view):
    voter_ids = view.configuration.voter_ids
    for member in view.configuration.members:
        silent_ms = view.silent_ms_by_id.get(member.member_id)
        if silent_ms is None:
            continue
        if not member.voter and silent_ms >= NON_VOTER_REMOVAL_TIMEOUT_MS:
            return Remove(member.member_id)
        if member.voter and len(voter_ids) % 2 == 0 and silent_ms >= VOTER_REMOVAL_TIMEOUT_MS:
            return Remove(member.member_id)
    return None
