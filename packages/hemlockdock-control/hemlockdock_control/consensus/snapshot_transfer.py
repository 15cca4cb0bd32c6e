"""The leader's side of snapshot transfer, for members that need entries already compacted."""

from hemlockdock_control.consensus.messages import SnapshotChunk
from hemlockdock_control.consensus.progress import ProgressMode


def start(state, peer_id, progress, now_ms):
    """Start to send the latest snapshot.

    Parameters
    ----------
    state : MemberState
    peer_id : str
    progress : Progress
    now_ms : float
    """
    progress.enter_probe(progress.next_index)
    progress.mode = ProgressMode.SNAPSHOT
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    send_chunk(state, peer_id, progress, now_ms)


def is_chunk_due(progress, now_ms):
    """Return whether the last chunk was lost on the way to a member that is reachable.

    It is not resent to a member that doesn't reply, as frames would accumulate in its send queue.

    Parameters
    ----------
    progress : Progress
    now_ms : float

    Returns
    -------
    bool
    """
    if progress.mode is not ProgressMode.SNAPSHOT:
        return False
    return progress.replied_ms > progress.chunk_sent_ms


def send_chunk(state, peer_id, progress, now_ms):
    """Send the next chunk.

    Parameters
    ----------
    state : MemberState
    peer_id : str
    progress : Progress
    now_ms : float
    """
    snapshot = progress.snapshot
    start_offset = progress.snapshot_offset
    end = min(start_offset + state.timing.snapshot_chunk_bytes, len(snapshot.data))
    progress.chunk_sent_ms = now_ms
    chunk = SnapshotChunk(
        state.term,
        now_ms,
        snapshot.index,
        snapshot.term,
        snapshot.configuration,
        start_offset,
        snapshot.data[start_offset:end],
        end == len(snapshot.data),
    )
    state.send(peer_id, chunk, after_sync=False)


def on_snapshot_reply(state, sender, reply, now_ms):
    """Process the reply to a chunk and send the next one.

    Parameters
    ----------
    state : MemberState
    sender : str
    reply : SnapshotReply
    now_ms : float
    """
    progress = state.record_reply(sender, reply, now_ms)
    if progress is None or progress.mode is not ProgressMode.SNAPSHOT:
        return
    if reply.index != progress.snapshot.index:
        return
    if reply.offset > len(progress.snapshot.data):
        return
    # Only the heartbeat resends a chunk, so that duplicated replies don't multiply the chunks.
    advanced = reply.offset > progress.snapshot_offset
    progress.snapshot_offset = reply.offset
    if advanced:
        send_chunk(state, sender, progress, now_ms)
