"""Handlers of the messages between members, dispatched by type."""

from functools import singledispatch

from hemlockdock_control.consensus import (
    elections,
    follower,
    leadership_transfer,
    replication,
    snapshot_transfer,
)
from hemlockdock_control.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)


@singledispatch
def handle_message(message, sender, state, now_ms):
    """Process one message.

    Parameters
    ----------
    message : PeerMessage
    sender : str
    state : MemberState
    now_ms : float
    """
    raise TypeError(f"no such message: {message!r}")


@handle_message.register
def _(message: VoteRequest, sender, state, now_ms):
    elections.on_vote_request(state, sender, message, now_ms)


@handle_message.register
def _(message: VoteReply, sender, state, now_ms):
    elections.on_vote_reply(state, sender, message, now_ms)


@handle_message.register
def _(message: AppendRequest, sender, state, now_ms):
    follower.on_append_request(state, sender, message, now_ms)


@handle_message.register
def _(message: AppendReply, sender, state, now_ms):
    replication.on_append_reply(state, sender, message, now_ms)
    leadership_transfer.try_transfer(state, now_ms)


@handle_message.register
def _(message: SnapshotChunk, sender, state, now_ms):
    follower.on_snapshot_chunk(state, sender, message, now_ms)


@handle_message.register
def _(message: SnapshotReply, sender, state, now_ms):
    snapshot_transfer.on_snapshot_reply(state, sender, message, now_ms)


@handle_message.register
def _(message: TimeoutNow, sender, state, now_ms):
    if message.term == state.term and state.may_lead and not state.is_leader:
        elections.start_election(state, now_ms, transfer=True)
        state.silent_since_ms_by_id = {
            member_id: now_ms - silent_ms
            for member_id, silent_ms in message.silent_ms_by_id.items()
        }
