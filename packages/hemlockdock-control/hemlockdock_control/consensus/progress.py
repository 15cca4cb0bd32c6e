"""Track how far one other member has come."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from hemlockdock_control.consensus.snapshot import Snapshot


class ProgressMode(Enum):
    """Say how entries are sent."""

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """Track how far one other member has come.

    Attributes
    ----------
    next_index : int
        Next entry to send.
    match_index : int
        Last entry known to be durable there.
    mode : ProgressMode
    probe_in_flight : bool
        Whether a probe is under way.
    in_flight : collections.deque of int
        Last index of each request not yet answered.
    replied_ms : float
        When it last replied.
    acked_ms : float
        Latest send time that it has sent back.
    snapshot : Snapshot or None
        The one being sent.
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
        """Go back to one request at a time.

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
        """Note that all entries up to an index are durable there.

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
