"""Rules for automatic membership changes in a fleet.

The number of voters is odd and follows the number of losses to tolerate. Whoever joins is a
non-voter until there is a place for it: that of a voter that leaves, is silent or lost its folder.
A voter that leaves still replies, so its successor is promoted first. One that does not reply is
removed first: an odd number of voters has the same quorum without it, and the successor may fail
as well before it votes.
"""

from dataclasses import dataclass

from hemlockdock_control.consensus.member_changes import AddNonVoter, Promote, Remove

# A joining process sends several hellos within this time.
HELLO_EXPIRY_MS = 2_000.0
# Longer than an election, a restart or the renewal of a silent connection.
VOTER_REMOVAL_TIMEOUT_MS = 2_000.0
NON_VOTER_REMOVAL_TIMEOUT_MS = 10_000.0
MIN_VOTERS = 3
# If the number of losses to tolerate is not stated.
DEFAULT_MAX_VOTERS = 5


@dataclass(frozen=True, slots=True)
class MemberSetView:
    """The leader's view of the members and of the processes that want to join or leave.

    Attributes
    ----------
    own_id : str
    configuration : Configuration
    received_hello_by_id : dict of str to ReceivedHello
    silent_ms_by_id : dict of str to float
        Time since the last reply of each other member.
    caught_up : set of str
        Ids of the members that hold all committed entries.
    tolerated_losses : int
        Number of members that may be lost at the same time; 0 if it is not stated.
    election_ms : float
        Silence after which a member does not count as responsive.
    now_ms : float
    """

    own_id: str
    configuration: object
    received_hello_by_id: dict
    silent_ms_by_id: dict
    caught_up: set
    tolerated_losses: int
    election_ms: float
    now_ms: float

    @property
    def voters(self):
        """Return the voters as a list of Member."""
        return [member for member in self.configuration.members if member.voter]

    @property
    def voter_target(self):
        """Return the number of voters that the cluster should have."""
        if self.tolerated_losses:
            return 2 * self.tolerated_losses + 1
        members = len(self.configuration.members)
        largest_odd = members - 1 + members % 2
        return min(max(largest_odd, MIN_VOTERS), DEFAULT_MAX_VOTERS)

    @property
    def successors(self):
        """Return the non-voters that could vote at once, as a list of Member."""
        found = []
        for member in self.configuration.members:
            if member.voter or member.member_id not in self.caught_up:
                continue
            if self.is_responsive(member) and not self.is_leaving(member):
                found.append(member)
        return found

    def silent_ms(self, member):
        """Return the time since a member's last reply, 0 for the leader itself."""
        return self.silent_ms_by_id.get(member.member_id, 0.0)

    def is_responsive(self, member):
        """Return whether a member has replied within an election timeout."""
        return self.silent_ms(member) < self.election_ms

    def is_leaving(self, member):
        """Return whether a member has said lately that its process stops."""
        return member.member_id in leaving_ids(self.received_hello_by_id, self.now_ms)

    def has_lost_folder(self, member):
        """Return whether another process uses a member's address, so that its folder is lost."""
        if member.member_id == self.own_id:
            return False
        for member_id, hello in self.recent_hello_by_id.items():
            if hello.address == member.address and member_id != member.member_id:
                return True
        return False

    @property
    def recent_hello_by_id(self):
        """Return the hellos that have not expired, by the id of their sender."""
        return _recent_hellos(self.received_hello_by_id, self.now_ms)


def leaving_ids(received_hello_by_id, now_ms):
    """Return the ids of the processes that have said lately that they stop.

    Parameters
    ----------
    received_hello_by_id : dict of str to ReceivedHello
    now_ms : float

    Returns
    -------
    frozenset of str
    """
    recent = _recent_hellos(received_hello_by_id, now_ms)
    return frozenset(member_id for member_id, hello in recent.items() if hello.leaving)


def next_change(view):
    """Return the next membership change, or None if none is needed.

    Parameters
    ----------
    view : MemberSetView

    Returns
    -------
    AddNonVoter, Promote, Remove or None
    """
    for rule in RULES:
        change = rule(view)
        if change is not None:
            return change
    return None


def _recent_hellos(received_hello_by_id, now_ms):
    recent = {}
    for member_id, received in received_hello_by_id.items():
        if now_ms - received.received_ms <= HELLO_EXPIRY_MS:
            recent[member_id] = received.hello
    return recent


def _removal_of_lost_folder(view):
    for member in view.configuration.members:
        if not view.has_lost_folder(member):
            continue
        if not member.voter or _keeps_quorum_without_one(view):
            return Remove(member.member_id)
    return None


def _addition(view):
    for member_id, hello in view.recent_hello_by_id.items():
        if hello.leaving or view.configuration.find(member_id) is not None:
            continue
        if not _is_stale_hello(member_id, view):
            return AddNonVoter(member_id, hello.folder_id, hello.address)
    return None


def _removal_of_surplus_voter(view):
    voters = view.voters
    if len(voters) <= view.voter_target:
        return None
    others = [voter for voter in voters if voter.member_id != view.own_id]
    for voter in others:
        if view.is_leaving(voter):
            return Remove(voter.member_id)
    for voter in others:
        if view.silent_ms(voter) >= VOTER_REMOVAL_TIMEOUT_MS:
            return Remove(voter.member_id)
    # A voter that is silent only now may be the one to remove.
    if all(view.is_responsive(voter) for voter in others):
        return Remove(others[-1].member_id)
    return None


def _promotion_into_free_place(view):
    voters = view.voters
    successors = view.successors
    if not successors or len(voters) >= view.voter_target:
        return None
    # An even number of voters tolerates no more losses than one voter less.
    is_odd_after = len(voters) % 2 == 0
    is_pair = len(successors) > 1 and all(view.is_responsive(voter) for voter in voters)
    if is_odd_after or is_pair or len(voters) == 1:
        return Promote(successors[0].member_id)
    return None


def _replacement_of_silent_voter(view):
    voters = view.voters
    if not view.successors or len(voters) % 2 == 0:
        return None
    for voter in voters:
        if view.silent_ms(voter) >= VOTER_REMOVAL_TIMEOUT_MS:
            return Remove(voter.member_id)
    return None


def _replacement_of_leaving_voter(view):
    voters = view.voters
    successors = view.successors
    if not successors or len(voters) != view.voter_target:
        return None
    for voter in voters:
        if view.is_leaving(voter) and view.is_responsive(voter):
            return Promote(successors[0].member_id)
    return None


def _removal_of_silent_non_voter(view):
    for member in view.configuration.members:
        if not member.voter and view.silent_ms(member) >= NON_VOTER_REMOVAL_TIMEOUT_MS:
            return Remove(member.member_id)
    return None


def _keeps_quorum_without_one(view):
    voters = len(view.voters)
    return voters % 2 == 1 or voters > view.voter_target


def _is_stale_hello(member_id, view):
    # The hello was sent before another process took over the address.
    received = view.received_hello_by_id[member_id]
    for other_id, other in view.received_hello_by_id.items():
        same_address = other.hello.address == received.hello.address
        if other_id != member_id and same_address and other.received_ms > received.received_ms:
            return True
    return False


# The first rule that asks for a change decides.
RULES = (
    _removal_of_lost_folder,
    _addition,
    _removal_of_surplus_voter,
    _promotion_into_free_place,
    _replacement_of_silent_voter,
    _replacement_of_leaving_voter,
    _removal_of_silent_non_voter,
)
