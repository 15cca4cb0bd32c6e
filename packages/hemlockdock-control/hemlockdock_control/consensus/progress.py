"""Replication progress of a member, as tracked by the leader."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from hemlockdock_control.consensus.snapshot import Snapshot


class ProgressMode(Enum):
    """How the leader sends entries to a member.

    PROBE sends one request at a time without entries, PIPELINE sends several requests before a
    reply arrives, and SNAPSHOT sends a snapshot in chunks.
    """

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """Replication progress of one member.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index of the last entry known to be durable on the member.
    mode : ProgressMode
    probe_in_flight : bool
        Whether a probe is unanswered.
    in_flight : collections.deque of int
        Last index of each unanswered request.
    replied_ms : float
        Time of the last reply.
    acked_ms : float
        Latest send time of a request that the member has answered.
    snapshot : Snapshot or None
        Snapshot that is being sent.
    snapshot_offset : int
    chunk_sent_ms : float
    """

    next_index: int
    match_index: int = 0
    mode: ProgressMode = ProgressMode.PROBE
    probe_in_flight: bool = False
    in_flight: deque = field(default_factory=deque)
    replied_ms: float = float("-inf")
    acked_ms: float = float("-inf")
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent_ms: float = float("-inf")

    def enter_probe(self, next_index):
        """Switch to probing, with one request at a time.

        Parameters
        ----------
        next_index : int
        """
        self.mode = ProgressMode.PROBE
        self.next_index = next_index
        self.probe_in_flight = False
        self.in_flight.clear()
        self.snapshot = None

    def acknowledge(self, index):
        """Record that all entries up to an index are durable on the member.

        Parameters
        ----------
        index : int
        """
        self.match_index = max(self.match_index, index)
        if self.mode is not ProgressMode.PIPELINE:
            self.enter_probe(self.match_index + 1)
            self.mode = ProgressMode.PIPELINE
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= index:
            self.in_flight.popleft()
