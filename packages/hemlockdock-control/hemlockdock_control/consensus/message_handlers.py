"""Handle each message between members by its type."""

from functools import singledispatch

from hemlockdock_control.consensus import (
    elections,
    following,
    handover,
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
def take_message(message, sender, state, now_ms):
    """Take one message.

    Parameters
    ----------
    message : PeerMessage
    sender : str
    state : MemberState
    now_ms : float
    """
    raise TypeError(f"no such message: {message!r}")


@take_message.register
def _(message: VoteRequest, sender, state, now_ms):
    elections.on_request(state, sender, message, now_ms)


@take_message.register
def _(message: VoteReply, sender, state, now_ms):
    elections.on_reply(state, sender, message, now_ms)


@take_message.register
def _(message: AppendRequest, sender, state, now_ms):
    following.on_append(state, sender, message, now_ms)


@take_message.register
def _(message: AppendReply, sender, state, now_ms):
    replication.on_reply(state, sender, message, now_ms)
    handover.go_on(state, now_ms)


@take_message.register
def _(message: SnapshotChunk, sender, state, now_ms):
    following.on_chunk(state, sender, message, now_ms)


@take_message.register
def _(message: SnapshotReply, sender, state, now_ms):
    snapshot_transfer.on_reply(state, sender, message, now_ms)


@take_message.register
def _(message: TimeoutNow, sender, state, now_ms):
    if message.term == state.term and state.may_lead and not state.is_leader:
        elections.start_election(state, now_ms, transfer=True)
