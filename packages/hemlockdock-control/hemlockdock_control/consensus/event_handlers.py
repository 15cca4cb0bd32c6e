"""Handlers of the events, dispatched by type.

These are ``singledispatch`` functions because ``singledispatchmethod`` creates a new wrapper at
each call.
"""

from functools import singledispatch

from hemlockdock_control.consensus import elections, leadership_transfer, quorums, replication
from hemlockdock_control.consensus.effects import WriteSnapshot
from hemlockdock_control.consensus.entry import EntryKind
from hemlockdock_control.consensus.events import (
    ConfigurationProposed,
    Proposed,
    Received,
    SnapshotTaken,
    StorageFailed,
    Synced,
    Tick,
    TransferRequested,
)
from hemlockdock_control.consensus.member_state import MemberRole
from hemlockdock_control.consensus.message_handlers import handle_message
from hemlockdock_control.consensus.snapshot import Snapshot


@singledispatch
def handle_event(event, state, now_ms):
    """Process one event.

    Parameters
    ----------
    event : one of hemlockdock_control.consensus.events
    state : MemberState
    now_ms : float
    """
    raise TypeError(f"no such event: {event!r}")


@handle_event.register
def _(event: Tick, state, now_ms):
    if state.is_leader:
        _tick_leader(state, now_ms)
        return
    if state.may_lead and now_ms >= state.election_due_ms:
        elections.start_pre_vote(state, now_ms)


@handle_event.register
def _(event: Received, state, now_ms):
    handle_message(event.message, event.sender, state, now_ms)


@handle_event.register
def _(event: Proposed, state, now_ms):
    if not leadership_transfer.accepts_proposals(state):
        return
    state.append(EntryKind.COMMAND, event.commands)
    replication.broadcast_entries(state, now_ms)


@handle_event.register
def _(event: ConfigurationProposed, state, now_ms):
    if not leadership_transfer.accepts_proposals(state):
        return
    state.append(EntryKind.CONFIGURATION, [event.configuration.encode()])
    # A removed member that is added again starts with new progress, as its folder may be another.
    for peer_id in list(state.progress_by_id):
        if event.configuration.find(peer_id) is None:
            del state.progress_by_id[peer_id]
    replication.broadcast_entries(state, now_ms)


@handle_event.register
def _(event: Synced, state, now_ms):
    state.record_synced(event.write_count)
    if state.is_leader:
        replication.advance_commit(state, now_ms)
        return
    elections.on_synced(state, now_ms)


@handle_event.register
def _(event: SnapshotTaken, state, now_ms):
    if event.index <= state.snapshot.index:
        return
    configuration = state.configurations.at(event.index)
    term = state.log.term_at(event.index)
    state.snapshot = Snapshot(event.index, term, configuration, event.data)
    state.write(WriteSnapshot(state.snapshot, installed=False))
    kept = state.timing
    state.log.compact_to(event.index, kept.kept_entries, kept.kept_bytes)
    state.configurations.discard_before(event.index)


@handle_event.register
def _(event: TransferRequested, state, now_ms):
    leadership_transfer.start(state, event.avoided_ids, now_ms)


@handle_event.register
def _(event: StorageFailed, state, now_ms):
    state.become_follower(state.term, "", now_ms)
    state.role = MemberRole.FAILED


def _tick_leader(state, now_ms):
    if not quorums.has_quorum_contact(state, now_ms):
        state.become_follower(state.term, "", now_ms)
        return
    leadership_transfer.abort_if_overdue(state, now_ms)
    if state.is_leader and now_ms >= state.heartbeat_due_ms:
        replication.broadcast_heartbeat(state, now_ms)
