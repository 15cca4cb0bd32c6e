"""The leader's side of log replication."""

from hemlockdock_control.consensus import snapshot_transfer
from hemlockdock_control.consensus.messages import AppendRequest
from hemlockdock_control.consensus.progress import ProgressMode


def broadcast_entries(state, now_ms):
    """Send each member its missing entries.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    for peer_id in state.peer_ids:
        send_entries(state, peer_id, now_ms)


def broadcast_heartbeat(state, now_ms):
    """Send each member its missing entries, or an empty request if there are none.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    state.heartbeat_due_ms = now_ms + state.timing.heartbeat_ms
    for peer_id in state.peer_ids:
        progress = state.progress_of(peer_id)
        progress.probe_in_flight = False
        if snapshot_transfer.is_chunk_due(progress, now_ms):
            snapshot_transfer.send_chunk(state, peer_id, progress, now_ms)
        elif not send_entries(state, peer_id, now_ms):
            _send_request(state, peer_id, progress, (), now_ms)


def send_entries(state, peer_id, now_ms):
    """Send a member its missing entries, up to the limit of requests in flight.

    Parameters
    ----------
    state : MemberState
    peer_id : str
    now_ms : float

    Returns
    -------
    bool
        Whether anything was sent.
    """
    progress = state.progress_of(peer_id)
    sent = False
    while _may_send(state, progress):
        if progress.next_index <= state.log.base_index:
            snapshot_transfer.start(state, peer_id, progress, now_ms)
            return True
        sent = True
        if progress.mode is ProgressMode.PROBE:
            # A probe has no entries because it is repeated while the member is unreachable.
            progress.probe_in_flight = True
            _send_request(state, peer_id, progress, (), now_ms)
            break
        entries = _next_entries(state, progress)
        _send_request(state, peer_id, progress, entries, now_ms)
        progress.next_index = entries[-1].index + 1
        progress.in_flight.append(entries[-1].index)
    return sent


def on_append_reply(state, sender, reply, now_ms):
    """Process the reply to an append request.

    Parameters
    ----------
    state : MemberState
    sender : str
    reply : AppendReply
    now_ms : float
    """
    progress = state.record_reply(sender, reply, now_ms)
    if progress is None:
        return
    if reply.accepted:
        progress.acknowledge(reply.index)
        advance_commit(state, now_ms)
        if state.is_leader:
            send_entries(state, sender, now_ms)
        return
    if _is_stale_reply(progress, reply):
        return
    progress.enter_probe(max(_next_after_conflict(state, reply), progress.match_index + 1))
    send_entries(state, sender, now_ms)


def advance_commit(state, now_ms):
    """Commit the entries that are durable on a quorum of voters.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    indexes = [_durable_index(state, voter_id) for voter_id in state.configuration.voter_ids]
    indexes.sort(reverse=True)
    index = indexes[state.configuration.quorum - 1]
    # Entries of earlier terms are committed only together with an entry of this term.
    if index < state.term_start_index:
        return
    state.commit_to(index)
    state.establish_leadership()
    _step_down_if_removed(state, now_ms)


def _durable_index(state, voter_id):
    if voter_id == state.member_id:
        return state.synced_index
    return state.progress_of(voter_id).match_index


def _step_down_if_removed(state, now_ms):
    if state.configuration_index > state.commit_index or state.is_voter:
        return
    # The heartbeat carries the new commit index to the others before this member steps down.
    broadcast_heartbeat(state, now_ms)
    state.become_follower(state.term, "", now_ms)


def _may_send(state, progress):
    if progress.next_index > state.log.last_index:
        return False
    if progress.mode is ProgressMode.PROBE:
        return not progress.probe_in_flight
    if progress.mode is ProgressMode.SNAPSHOT:
        return False
    return len(progress.in_flight) < state.timing.requests_in_flight


def _next_entries(state, progress):
    last = min(state.log.last_index, progress.next_index + state.timing.entries_per_request - 1)
    entries = state.log.slice(progress.next_index, last)
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.data)
        if size > state.timing.bytes_per_request and position > 0:
            return entries[:position]
    return entries


def _send_request(state, peer_id, progress, entries, now_ms):
    # Heartbeats to a member that needs a snapshot refer to the base of the log.
    previous = max(progress.next_index - 1, state.log.base_index)
    request = AppendRequest(
        state.term, now_ms, previous, state.log.term_at(previous), state.commit_index, entries
    )
    # No sync is needed first: the leader counts its own entries only once they are durable.
    state.send(peer_id, request, after_sync=False)


def _is_stale_reply(progress, reply):
    if reply.index <= progress.match_index:
        return True
    if progress.mode is ProgressMode.SNAPSHOT:
        return True
    return progress.mode is ProgressMode.PROBE and reply.index != progress.next_index - 1


def _next_after_conflict(state, reply):
    if reply.conflict_term:
        index = state.log.last_index_of_term(reply.conflict_term, reply.index)
        if index is not None:
            return index + 1
    return max(reply.conflict_index, 1)
