"""The state of a member and the state changes that several parts of the algorithm share."""

from collections import deque
from enum import Enum

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.configuration_history import ConfigurationHistory
from hemlockdock_control.consensus.effects import (
    ApplyEntries,
    LeadershipChanged,
    Send,
    WriteEntries,
    WriteVote,
)
from hemlockdock_control.consensus.entry import EntryKind, LogEntry
from hemlockdock_control.consensus.entry_log import EntryLog
from hemlockdock_control.consensus.progress import Progress

NEVER_MS = float("-inf")


class MemberRole(Enum):
    """The Raft role of a member; FAILED means that it stopped after an error."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class MemberState:
    """The state of one member.

    Parameters
    ----------
    timing : Timing
    member_id : str
    folder_id : str
    random : random.Random
    durable : DurableState
        State recovered from the disk.
    now_ms : float

    Attributes
    ----------
    term : int
    voted_for : str
    role : MemberRole
    leader_id : str
        Empty if the leader is not known.
    log : EntryLog
    snapshot : Snapshot
    commit_index : int
    synced_index : int
        Last index that is durable on this member's disk.
    leader_contact_ms : float
        Time of the last contact with a leader.
    election_due_ms : float
    votes : set of str
    transfer_requested : bool
        Whether the leader asked for the current election.
    silent_since_ms_by_id : dict of str to float
        Last replies of silent members, as told by the leader that asked for the election.
    progress_by_id : dict of str to Progress
    term_start_index : int
        Index of the first entry that this leader appended in its term.
    leadership_established : bool
        Whether this member leads and has applied all entries committed before its term.
    leading_since_ms : float
    heartbeat_due_ms : float
    lease_released : bool
        Whether another member was asked to take over in this term, which ends the lease.
    transfer_deadline_ms : float
        Deadline of the leadership transfer in progress, NEVER_MS if there is none.
    transfer_avoided_ids : frozenset of str
        Members that must not take over in that transfer.
    incoming_snapshot : IncomingSnapshot or None
    effects : list
        Effects of the current step, in order.
    """

    def __init__(self, timing, member_id, folder_id, random, durable, now_ms):
        self.timing = timing
        self.member_id = member_id
        self.folder_id = folder_id
        self.random = random
        self.term = durable.term
        self.voted_for = durable.voted_for
        self.snapshot = durable.snapshot
        self.role = MemberRole.FOLLOWER
        self.leader_id = ""
        self.log = EntryLog(self.snapshot.index, self.snapshot.term)
        self.configurations = _history_from(self.snapshot)
        for entry in durable.entries:
            self._add(entry)
        self.commit_index = self.snapshot.index
        self.synced_index = self.log.last_index
        # A restarted member may have acknowledged a heartbeat, and so extended a lease, just before
        # the restart. It refuses votes for an election timeout, as if it had heard the leader now.
        self.leader_contact_ms = now_ms if self.term > 0 else NEVER_MS
        self.election_due_ms = NEVER_MS
        self.votes = set()
        self.transfer_requested = False
        self.silent_since_ms_by_id = {}
        self.progress_by_id = {}
        self.term_start_index = 0
        self.leadership_established = False
        self.leading_since_ms = NEVER_MS
        self.heartbeat_due_ms = NEVER_MS
        self.lease_released = False
        self.transfer_deadline_ms = NEVER_MS
        self.transfer_avoided_ids = frozenset()
        self.incoming_snapshot = None
        self.effects = []
        self.write_count = 0
        self._unsynced = deque()
        self.reset_election_timer(now_ms)

    @property
    def configuration(self):
        """Return the latest configuration in the log, committed or not."""
        return self.configurations.latest

    @property
    def configuration_index(self):
        """Return the index of the entry that holds the latest configuration."""
        return self.configurations.latest_index

    @property
    def is_leader(self):
        """Return whether this member is the leader."""
        return self.role is MemberRole.LEADER

    @property
    def is_voter(self):
        """Return whether this member is a voter and has the folder it was configured with."""
        return self.configuration.has_voter(self.member_id, self.folder_id)

    @property
    def may_lead(self):
        """Return whether this member may become a candidate.

        A voter whose removal is in its log but not committed may, because it can be the only one
        that holds the latest entries.
        """
        if self.is_voter:
            return True
        committed = self.configurations.at(self.commit_index)
        return committed.has_voter(self.member_id, self.folder_id)

    @property
    def peer_ids(self):
        """Return the ids of all other members."""
        members = self.configuration.members
        return [m.member_id for m in members if m.member_id != self.member_id]

    def reset_election_timer(self, now_ms):
        """Set a new random election timeout.

        Parameters
        ----------
        now_ms : float
        """
        span = self.timing.election_ms
        self.election_due_ms = now_ms + span + self.random.uniform(0.0, span)

    def send(self, member_id, message, after_sync=True):
        """Add an effect that sends a message to a member.

        Parameters
        ----------
        member_id : str
        message : PeerMessage
        after_sync : bool, optional
        """
        self.effects.append(Send(member_id, message, after_sync))

    def write(self, effect):
        """Add an effect that writes to the disk.

        Parameters
        ----------
        effect : WriteVote, WriteEntries, TruncateLog or WriteSnapshot
        """
        self.write_count += 1
        self.effects.append(effect)

    def set_vote(self, term, voted_for):
        """Set and persist the term and the vote given in it.

        Parameters
        ----------
        term : int
        voted_for : str
        """
        self.term = term
        self.voted_for = voted_for
        self.write(WriteVote(term, voted_for))
        self._unsynced.append((self.write_count, 0, 0))

    def append(self, kind, commands):
        """Append new entries of this term to the leader's log.

        Parameters
        ----------
        kind : EntryKind
        commands : iterable of bytes
        """
        entries = []
        for data in commands:
            entries.append(LogEntry(self.log.last_index + 1, self.term, kind, data))
            self._add(entries[-1])
        self._write_entries(tuple(entries))

    def append_received(self, entries):
        """Append entries received from the leader.

        Parameters
        ----------
        entries : tuple of LogEntry
        """
        for entry in entries:
            self._add(entry)
        self._write_entries(entries)

    def truncate_from(self, index):
        """Remove the entries at and after an index.

        Parameters
        ----------
        index : int
        """
        if index <= self.commit_index:
            raise AssertionError(f"entry {index} is committed and cannot be dropped")
        self.log.truncate_from(index)
        self.synced_index = min(self.synced_index, index - 1)
        self.configurations.truncate_from(index)

    def replace_log(self, snapshot):
        """Replace the log by a snapshot and an empty log after it.

        Parameters
        ----------
        snapshot : Snapshot
        """
        self.snapshot = snapshot
        self.log = EntryLog(snapshot.index, snapshot.term)
        self.configurations = _history_from(snapshot)
        self.commit_index = snapshot.index
        self.synced_index = snapshot.index

    def record_synced(self, write_count):
        """Record which writes are durable.

        Parameters
        ----------
        write_count : int
        """
        while self._unsynced and self._unsynced[0][0] <= write_count:
            _, index, term = self._unsynced.popleft()
            if index > self.synced_index and self.log.term_at(index) == term:
                self.synced_index = index

    def vote_is_synced(self):
        """Return whether the latest vote is durable."""
        return all(index for _, index, _ in self._unsynced)

    def commit_to(self, index):
        """Commit and apply all entries up to and including an index.

        Parameters
        ----------
        index : int
        """
        if index <= self.commit_index:
            return
        entries = self.log.slice(self.commit_index + 1, index)
        self.commit_index = index
        self.effects.append(ApplyEntries(entries))

    def become_follower(self, term, leader_id, now_ms):
        """Become a follower in a term; a newer term is persisted first.

        Parameters
        ----------
        term : int
        leader_id : str
            Empty if the leader is not known.
        now_ms : float
        """
        if term > self.term:
            self.set_vote(term, "")
        if self.is_leader:
            self.reset_election_timer(now_ms)
        if self.leadership_established:
            self.leadership_established = False
            self.effects.append(LeadershipChanged(False, self.term))
        if self.role is not MemberRole.FOLLOWER:
            self.votes.clear()
            self.progress_by_id.clear()
        self.role = MemberRole.FOLLOWER
        self.leader_id = leader_id

    def progress_of(self, member_id):
        """Return the replication progress of another member, creating it if needed.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Progress
        """
        progress = self.progress_by_id.get(member_id)
        if progress is None:
            progress = Progress(self.log.last_index + 1)
            self.progress_by_id[member_id] = progress
        return progress

    def heard_ms(self, member_id):
        """Return the time since which this leader has waited for a reply of a member.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        float
        """
        replied_ms = self.progress_of(member_id).replied_ms
        return self.leading_since_ms if replied_ms == NEVER_MS else replied_ms

    def record_reply(self, sender, reply, now_ms):
        """Record a reply of a follower.

        Parameters
        ----------
        sender : str
        reply : AppendReply or SnapshotReply
        now_ms : float

        Returns
        -------
        Progress or None
            None if the reply must be ignored.
        """
        if reply.term > self.term:
            self.become_follower(reply.term, "", now_ms)
            return None
        if reply.term < self.term or not self.is_leader:
            return None
        progress = self.progress_by_id.get(sender)
        if progress is None:
            return None
        progress.replied_ms = now_ms
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        return progress

    def establish_leadership(self):
        """Report the leadership once an entry of this leader's term is committed and applied."""
        if self.leadership_established or self.commit_index < self.term_start_index:
            return
        self.leadership_established = True
        self.effects.append(LeadershipChanged(True, self.term))

    def _add(self, entry):
        self.log.append(entry)
        if entry.kind is EntryKind.CONFIGURATION:
            self.configurations.add(entry.index, Configuration.decode(entry.data))

    def _write_entries(self, entries):
        if not entries:
            return
        self.write(WriteEntries(entries))
        self._unsynced.append((self.write_count, entries[-1].index, entries[-1].term))


def _history_from(snapshot):
    return ConfigurationHistory(snapshot.index, snapshot.configuration)
