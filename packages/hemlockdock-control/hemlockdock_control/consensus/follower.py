"""The follower's side of log replication and snapshot transfer."""

from dataclasses import dataclass, field

from hemlockdock_control.consensus.effects import RestoreStateMachine, TruncateLog, WriteSnapshot
from hemlockdock_control.consensus.messages import AppendReply, SnapshotReply
from hemlockdock_control.consensus.snapshot import Snapshot


@dataclass(slots=True)
class IncomingSnapshot:
    """The chunks received so far of a snapshot that the leader sends.

    Attributes
    ----------
    term : int
    index : int
    data : bytearray
    """

    term: int
    index: int
    data: bytearray = field(default_factory=bytearray)


def on_append_request(state, sender, request, now_ms):
    """Append entries from the leader and reply.

    Parameters
    ----------
    state : MemberState
    sender : str
    request : AppendRequest
    now_ms : float
    """
    if request.term < state.term:
        state.send(sender, AppendReply(state.term, request.sent_ms, False, request.previous_index))
        return
    follow(state, sender, request.term, now_ms)
    previous, previous_term, entries = _skip_committed(state, request)
    found = state.log.term_at(previous)
    if found != previous_term:
        state.send(sender, _conflict_reply(state, request, found))
        return
    _append(state, entries)
    last = previous + len(entries)
    state.commit_to(min(request.commit_index, last))
    state.send(sender, AppendReply(state.term, request.sent_ms, True, last))


def on_snapshot_chunk(state, sender, chunk, now_ms):
    """Store one chunk of a snapshot and reply.

    Parameters
    ----------
    state : MemberState
    sender : str
    chunk : SnapshotChunk
    now_ms : float
    """
    if chunk.term < state.term:
        state.send(sender, SnapshotReply(state.term, chunk.sent_ms, chunk.index, 0))
        return
    follow(state, sender, chunk.term, now_ms)
    if chunk.index <= state.commit_index:
        state.incoming_snapshot = None
        state.send(sender, AppendReply(state.term, chunk.sent_ms, True, state.commit_index))
        return
    if state.log.term_at(chunk.index) == chunk.index_term:
        # Later entries may already be acknowledged, so the log is kept.
        state.commit_to(chunk.index)
        state.send(sender, AppendReply(state.term, chunk.sent_ms, True, chunk.index))
        return
    incoming = _snapshot_in_progress(state, chunk)
    if chunk.offset == len(incoming.data):
        incoming.data += chunk.data
        if chunk.last:
            _install_snapshot(state, chunk, bytes(incoming.data))
            state.send(sender, AppendReply(state.term, chunk.sent_ms, True, chunk.index))
            return
    reply = SnapshotReply(state.term, chunk.sent_ms, chunk.index, len(incoming.data))
    state.send(sender, reply)


def follow(state, leader_id, term, now_ms):
    """Follow the leader of the current or a later term.

    Parameters
    ----------
    state : MemberState
    leader_id : str
    term : int
    now_ms : float
    """
    if state.is_leader and term == state.term:
        raise AssertionError(f"two leaders in term {term}: {leader_id} and {state.member_id}")
    state.become_follower(term, leader_id, now_ms)
    state.leader_contact_ms = now_ms
    state.reset_election_timer(now_ms)


def _skip_committed(state, request):
    """Return the previous index, previous term and entries without the part committed here.

    Committed entries are the same in the leader's log, so they need no comparison.
    """
    skipped = state.commit_index - request.previous_index
    if skipped <= 0:
        return request.previous_index, request.previous_term, request.entries
    term = state.log.term_at(state.commit_index)
    return state.commit_index, term, request.entries[skipped:]


def _append(state, entries):
    for position, entry in enumerate(entries):
        found = state.log.term_at(entry.index)
        if found == entry.term:
            continue
        if found is not None:
            state.truncate_from(entry.index)
            state.write(TruncateLog(entry.index))
        state.append_received(entries[position:])
        return


def _conflict_reply(state, request, found):
    previous = request.previous_index
    if found is None:
        return AppendReply(
            state.term, request.sent_ms, False, previous, 0, state.log.last_index + 1
        )
    first = state.log.first_index_of_term_at(previous)
    return AppendReply(state.term, request.sent_ms, False, previous, found, first)


def _snapshot_in_progress(state, chunk):
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.term, incoming.index) != (chunk.term, chunk.index):
        incoming = IncomingSnapshot(chunk.term, chunk.index)
        state.incoming_snapshot = incoming
    return incoming


def _install_snapshot(state, chunk, data):
    state.incoming_snapshot = None
    snapshot = Snapshot(chunk.index, chunk.index_term, chunk.configuration, data)
    state.replace_log(snapshot)
    state.write(WriteSnapshot(snapshot, installed=True))
    state.effects.append(RestoreStateMachine(snapshot))
