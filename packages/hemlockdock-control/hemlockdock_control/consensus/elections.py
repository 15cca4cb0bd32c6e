"""Leader election with a pre-vote phase."""

from hemlockdock_control.consensus import replication
from hemlockdock_control.consensus.entry import EntryKind
from hemlockdock_control.consensus.member_state import NEVER_MS, MemberRole
from hemlockdock_control.consensus.messages import VoteReply, VoteRequest
from hemlockdock_control.consensus.progress import Progress


def start_pre_vote(state, now_ms):
    """Ask the voters whether they would vote for this member, without changing any term or vote.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    state.become_follower(state.term, "", now_ms)
    state.role = MemberRole.PRE_CANDIDATE
    state.transfer_requested = False
    state.votes = {state.member_id}
    state.reset_election_timer(now_ms)
    _request_votes(state, state.term + 1, pre=True)
    _count_votes(state, now_ms)


def start_election(state, now_ms, transfer=False):
    """Start an election in the next term.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    transfer : bool, optional
        Whether the leader asked for it by a TimeoutNow message.
    """
    state.become_follower(state.term, "", now_ms)
    state.role = MemberRole.CANDIDATE
    state.transfer_requested = transfer
    state.silent_since_ms_by_id = {}
    state.votes = set()
    state.set_vote(state.term + 1, state.member_id)
    state.reset_election_timer(now_ms)
    _request_votes(state, state.term, pre=False)


def on_synced(state, now_ms):
    """Count a candidate's vote for itself once it is durable.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    if state.role is not MemberRole.CANDIDATE or not state.vote_is_synced():
        return
    state.votes.add(state.member_id)
    _count_votes(state, now_ms)


def on_vote_request(state, sender, request, now_ms):
    """Reply to a vote request.

    Parameters
    ----------
    state : MemberState
    sender : str
    request : VoteRequest
    now_ms : float
    """
    granted = _can_grant_vote(state, sender, request, now_ms)
    if granted and not request.pre:
        state.become_follower(request.term, "", now_ms)
        if state.voted_for != sender:
            state.set_vote(request.term, sender)
        state.reset_election_timer(now_ms)
    elif (
        not request.pre
        and request.term > state.term
        and not _has_active_leader(state, request, now_ms)
    ):
        state.become_follower(request.term, "", now_ms)
    reply = VoteReply(state.term, request.term, request.pre, granted, state.folder_id)
    state.send(sender, reply)


def on_vote_reply(state, sender, reply, now_ms):
    """Count a vote received from another member.

    Parameters
    ----------
    state : MemberState
    sender : str
    reply : VoteReply
    now_ms : float
    """
    if reply.term > state.term:
        state.become_follower(reply.term, "", now_ms)
        return
    if not reply.granted:
        return
    if not state.configuration.has_voter(sender, reply.folder_id):
        return
    if reply.pre:
        expected = state.role is MemberRole.PRE_CANDIDATE and reply.request_term == state.term + 1
    else:
        expected = state.role is MemberRole.CANDIDATE and reply.request_term == state.term
    if not expected:
        return
    state.votes.add(sender)
    _count_votes(state, now_ms)


def _request_votes(state, term, pre):
    request = VoteRequest(
        term, pre, state.log.last_index, state.log.last_term, state.transfer_requested
    )
    for voter_id in state.configuration.voter_ids:
        if voter_id != state.member_id:
            state.send(voter_id, request)


def _count_votes(state, now_ms):
    granted = [m for m in state.configuration.voter_ids if m in state.votes]
    if len(granted) < state.configuration.quorum:
        return
    if state.role is MemberRole.PRE_CANDIDATE:
        start_election(state, now_ms)
        return
    _become_leader(state, now_ms)


def _become_leader(state, now_ms):
    state.role = MemberRole.LEADER
    state.leader_id = state.member_id
    state.votes.clear()
    state.leading_since_ms = now_ms
    state.lease_released = False
    state.transfer_deadline_ms = NEVER_MS
    state.incoming_snapshot = None
    next_index = state.log.last_index + 1
    state.progress_by_id = {peer_id: Progress(next_index) for peer_id in state.peer_ids}
    for peer_id, progress in state.progress_by_id.items():
        progress.replied_ms = state.silent_since_ms_by_id.get(peer_id, NEVER_MS)
    state.term_start_index = next_index
    state.append(EntryKind.EMPTY, [b""])
    replication.broadcast_heartbeat(state, now_ms)


def _can_grant_vote(state, sender, request, now_ms):
    # This member doesn't check that it is a voter itself. The candidate does, whose log may be
    # more recent: a member that has not yet received its own promotion may be needed for a quorum.
    if _has_active_leader(state, request, now_ms):
        return False
    if not _is_up_to_date(state, request):
        return False
    if request.pre:
        return request.term > state.term
    if request.term > state.term:
        return True
    return request.term == state.term and state.voted_for in ("", sender)


def _has_active_leader(state, request, now_ms):
    """Return whether a leader was heard so recently that no other member may be elected."""
    if request.transfer:
        return False
    if state.is_leader:
        return True
    return now_ms - state.leader_contact_ms < state.timing.election_ms


def _is_up_to_date(state, request):
    own_last = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own_last
