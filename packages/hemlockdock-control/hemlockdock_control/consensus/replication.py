"""Replicate a leader's log, and decide what is committed."""

from hemlockdock_control.consensus.member_state import NEVER_MS
from hemlockdock_control.consensus.messages import AppendRequest, SnapshotChunk
from hemlockdock_control.consensus.progress import Progress, ProgressMode


def broadcast(state, now_ms):
    """Send each member the entries that it lacks.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    for peer_id in state.peer_ids:
        send_entries(state, peer_id, now_ms)


def broadcast_heartbeat(state, now_ms):
    """Send each member its entries, or an empty request where there are none to send.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    state.heartbeat_due_ms = now_ms + state.timing.heartbeat_ms
    for peer_id in state.peer_ids:
        progress = _progress(state, peer_id)
        progress.probe_waits = False
        if progress.mode is ProgressMode.SNAPSHOT:
            _send_chunk(state, peer_id, progress, now_ms)
        elif not send_entries(state, peer_id, now_ms):
            _send_request(state, peer_id, progress, (), now_ms)


def send_entries(state, peer_id, now_ms):
    """Send a member the entries that it lacks, as far as the window allows.

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
    progress = _progress(state, peer_id)
    sent = False
    while _may_send(state, progress):
        if progress.next_index <= state.log.base_index:
            _start_snapshot(state, peer_id, progress, now_ms)
            return True
        entries = _next_entries(state, progress)
        _send_request(state, peer_id, progress, entries, now_ms)
        sent = True
        if progress.mode is ProgressMode.PROBE:
            progress.probe_waits = True
            break
        progress.next_index = entries[-1].index + 1
        progress.in_flight.append(entries[-1].index)
    return sent


def on_reply(state, sender, reply, now_ms):
    """Take a member's answer to an append request.

    Parameters
    ----------
    state : MemberState
    sender : str
    reply : AppendReply
    now_ms : float
    """
    progress = note_contact(state, sender, reply, now_ms)
    if progress is None:
        return
    if reply.accepted:
        progress.accept(reply.index)
        advance_commit(state, now_ms)
        if state.is_leader:
            send_entries(state, sender, now_ms)
        return
    if _is_outdated(progress, reply):
        return
    progress.probe(max(_next_after_conflict(state, reply), progress.match_index + 1))
    send_entries(state, sender, now_ms)


def on_snapshot_reply(state, sender, reply, now_ms):
    """Send the next chunk of a snapshot.

    Parameters
    ----------
    state : MemberState
    sender : str
    reply : SnapshotReply
    now_ms : float
    """
    progress = note_contact(state, sender, reply, now_ms)
    if progress is None or progress.mode is not ProgressMode.SNAPSHOT:
        return
    if reply.index != progress.snapshot.index:
        return
    if reply.offset > len(progress.snapshot.data):
        return
    # A chunk is sent again by the next heartbeat only, so that repeated replies don't multiply.
    went_on = reply.offset > progress.snapshot_offset
    progress.snapshot_offset = reply.offset
    if went_on:
        _send_chunk(state, sender, progress, now_ms)


def note_contact(state, sender, reply, now_ms):
    """Note that a member follows this leader.

    Parameters
    ----------
    state : MemberState
    sender : str
    reply : AppendReply or SnapshotReply
    now_ms : float

    Returns
    -------
    Progress or None
        None where the reply is of no use.
    """
    if reply.term > state.term:
        state.become_follower(reply.term, "", now_ms)
        return None
    if reply.term < state.term or not state.is_leader:
        return None
    progress = state.progress_by_id.get(sender)
    if progress is None:
        return None
    progress.replied_ms = now_ms
    progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
    return progress


def advance_commit(state, now_ms):
    """Commit what a quorum of voters holds durably.

    Parameters
    ----------
    state : MemberState
    now_ms : float
    """
    indexes = [_durable_index(state, voter_id) for voter_id in state.configuration.voter_ids]
    indexes.sort(reverse=True)
    index = indexes[state.configuration.quorum - 1]
    # Entries of earlier terms are committed only along with one of this term.
    if index < state.term_start_index:
        return
    state.commit_to(index)
    state.announce_leadership()
    _leave_if_removed(state, now_ms)


def lease_until_ms(state, now_ms):
    """Return until when no other member can lead.

    Parameters
    ----------
    state : MemberState
    now_ms : float

    Returns
    -------
    float
    """
    if not state.is_leader or state.lease_given_up:
        return NEVER_MS
    return _quorum_time(state, "acked_ms", now_ms) + state.timing.lease_ms


def hears_quorum(state, now_ms):
    """Tell whether a quorum of voters replied within the election timeout.

    Parameters
    ----------
    state : MemberState
    now_ms : float

    Returns
    -------
    bool
    """
    return now_ms - quorum_heard_ms(state, now_ms) < state.timing.election_ms


def quorum_heard_ms(state, now_ms):
    """Return since when a quorum of voters has not been heard.

    Parameters
    ----------
    state : MemberState
    now_ms : float

    Returns
    -------
    float
    """
    return max(_quorum_time(state, "replied_ms", now_ms), state.leading_since_ms)


def _quorum_time(state, name, now_ms):
    times = []
    for voter_id in state.configuration.voter_ids:
        if voter_id == state.member_id:
            times.append(now_ms)
        else:
            times.append(getattr(_progress(state, voter_id), name))
    times.sort(reverse=True)
    return times[state.configuration.quorum - 1]


def _durable_index(state, voter_id):
    if voter_id == state.member_id:
        return state.synced_index
    return _progress(state, voter_id).match_index


def _leave_if_removed(state, now_ms):
    if state.configuration_index > state.commit_index or state.is_voter:
        return
    # The others learn the commit index before this member stops leading.
    broadcast_heartbeat(state, now_ms)
    state.become_follower(state.term, "", now_ms)


def _progress(state, peer_id):
    progress = state.progress_by_id.get(peer_id)
    if progress is None:
        progress = Progress(state.log.last_index + 1)
        state.progress_by_id[peer_id] = progress
    return progress


def _may_send(state, progress):
    if progress.next_index > state.log.last_index:
        return False
    if progress.mode is ProgressMode.PROBE:
        return not progress.probe_waits
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
    previous = progress.next_index - 1
    previous_term = state.log.term_at(previous)
    if previous_term is None:
        _start_snapshot(state, peer_id, progress, now_ms)
        return
    request = AppendRequest(
        state.term, now_ms, previous, previous_term, state.commit_index, entries
    )
    # Nothing is promised here: this member counts itself only once its own disk has synced.
    state.send(peer_id, request, after_sync=False)


def _start_snapshot(state, peer_id, progress, now_ms):
    progress.probe(progress.next_index)
    progress.mode = ProgressMode.SNAPSHOT
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    _send_chunk(state, peer_id, progress, now_ms)


def _send_chunk(state, peer_id, progress, now_ms):
    snapshot = progress.snapshot
    start = progress.snapshot_offset
    end = min(start + state.timing.snapshot_chunk_bytes, len(snapshot.data))
    chunk = SnapshotChunk(
        state.term,
        now_ms,
        snapshot.index,
        snapshot.term,
        snapshot.configuration,
        start,
        snapshot.data[start:end],
        end == len(snapshot.data),
    )
    state.send(peer_id, chunk, after_sync=False)


def _is_outdated(progress, reply):
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
