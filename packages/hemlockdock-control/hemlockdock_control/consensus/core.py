"""Run the algorithm: an event and the time go in, effects come out."""

from functools import singledispatchmethod

from hemlockdock_control.consensus import elections, following, handover, replication
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
from hemlockdock_control.consensus.member_state import MemberRole, MemberState
from hemlockdock_control.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from hemlockdock_control.consensus.snapshot import Snapshot


class Core:
    """Run one member's part of the algorithm, without any I/O.

    Parameters
    ----------
    timing : Timing
    member_id : str
    folder_id : str
    random : random.Random
    durable : DurableState
    now_ms : float
        From a clock that never goes back.

    Attributes
    ----------
    state : MemberState
    """

    def __init__(self, timing, member_id, folder_id, random, durable, now_ms):
        self.state = MemberState(timing, member_id, folder_id, random, durable, now_ms)

    def step(self, event, now_ms):
        """Take one event.

        Parameters
        ----------
        event : one of hemlockdock_control.consensus.events
        now_ms : float

        Returns
        -------
        list of effects
            To be run in order.
        """
        if self.state.role is MemberRole.FAILED:
            return []
        self._on_event(event, now_ms)
        effects = self.state.effects
        self.state.effects = []
        return effects

    @property
    def takes_proposals(self):
        """Tell whether commands are appended now."""
        return self.state.announced and not handover.is_under_way(self.state)

    def has_lease(self, now_ms):
        """Tell whether what is applied here is all that was committed anywhere.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        bool
        """
        state = self.state
        if not state.is_leader or state.commit_index < state.term_start_index:
            return False
        return now_ms < replication.lease_until_ms(state, now_ms)

    def silence_ms(self, now_ms):
        """Return how long ago the leader was heard, or by the leader, its quorum.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        float
        """
        if self.state.is_leader:
            return now_ms - replication.quorum_heard_ms(self.state, now_ms)
        return now_ms - self.state.contact_ms

    @singledispatchmethod
    def _on_event(self, event, now_ms):
        raise TypeError(f"no such event: {event!r}")

    @_on_event.register
    def _(self, event: Tick, now_ms):
        state = self.state
        if state.is_leader:
            self._lead(now_ms)
            return
        if state.is_voter and now_ms >= state.election_due_ms:
            elections.start_pre_vote(state, now_ms)

    @_on_event.register
    def _(self, event: Received, now_ms):
        self._on_message(event.message, event.sender, now_ms)

    @_on_event.register
    def _(self, event: Proposed, now_ms):
        if not self.takes_proposals:
            return
        self.state.append(EntryKind.COMMAND, event.commands)
        replication.broadcast(self.state, now_ms)

    @_on_event.register
    def _(self, event: ConfigurationProposed, now_ms):
        state = self.state
        if not self.takes_proposals:
            return
        state.append(EntryKind.CONFIGURATION, [event.configuration.encode()])
        # A member that comes back later begins anew, with whatever folder it then has.
        for peer_id in list(state.progress_by_id):
            if event.configuration.find(peer_id) is None:
                del state.progress_by_id[peer_id]
        replication.broadcast(state, now_ms)

    @_on_event.register
    def _(self, event: Synced, now_ms):
        state = self.state
        state.note_synced(event.write_count)
        if state.is_leader:
            replication.advance_commit(state, now_ms)
            return
        elections.on_synced(state, now_ms)

    @_on_event.register
    def _(self, event: SnapshotTaken, now_ms):
        state = self.state
        if event.index <= state.snapshot.index:
            return
        configuration = state.configuration_at(event.index)
        term = state.log.term_at(event.index)
        state.snapshot = Snapshot(event.index, term, configuration, event.data)
        state.write(WriteSnapshot(state.snapshot, installed=False))
        state.log.compact_to(event.index - state.timing.kept_entries)
        state.forget_configurations_before(event.index)

    @_on_event.register
    def _(self, event: TransferRequested, now_ms):
        handover.start(self.state, now_ms)

    @_on_event.register
    def _(self, event: StorageFailed, now_ms):
        self.state.become_follower(self.state.term, "", now_ms)
        self.state.role = MemberRole.FAILED

    @singledispatchmethod
    def _on_message(self, message, sender, now_ms):
        raise TypeError(f"no such message: {message!r}")

    @_on_message.register
    def _(self, message: VoteRequest, sender, now_ms):
        elections.on_request(self.state, sender, message, now_ms)

    @_on_message.register
    def _(self, message: VoteReply, sender, now_ms):
        elections.on_reply(self.state, sender, message, now_ms)

    @_on_message.register
    def _(self, message: AppendRequest, sender, now_ms):
        following.on_append(self.state, sender, message, now_ms)

    @_on_message.register
    def _(self, message: AppendReply, sender, now_ms):
        replication.on_reply(self.state, sender, message, now_ms)
        handover.go_on(self.state, now_ms)

    @_on_message.register
    def _(self, message: SnapshotChunk, sender, now_ms):
        following.on_chunk(self.state, sender, message, now_ms)

    @_on_message.register
    def _(self, message: SnapshotReply, sender, now_ms):
        replication.on_snapshot_reply(self.state, sender, message, now_ms)

    @_on_message.register
    def _(self, message: TimeoutNow, sender, now_ms):
        state = self.state
        if message.term == state.term and state.is_voter and not state.is_leader:
            elections.start_election(state, now_ms, transfer=True)

    def _lead(self, now_ms):
        state = self.state
        if not replication.hears_quorum(state, now_ms):
            state.become_follower(state.term, "", now_ms)
            return
        handover.give_up_if_due(state, now_ms)
        if now_ms >= state.heartbeat_due_ms:
            replication.broadcast_heartbeat(state, now_ms)
