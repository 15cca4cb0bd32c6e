"""Define what the algorithm asks its surroundings to do."""

from dataclasses import dataclass

from hemlockdock_control.consensus.entry import LogEntry
from hemlockdock_control.consensus.messages import PeerMessage
from hemlockdock_control.consensus.snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member.

    Attributes
    ----------
    member_id : str
    message : PeerMessage
    after_sync : bool
        Whether it promises something, so that all earlier writes must be durable first.
    """

    member_id: str
    message: PeerMessage
    after_sync: bool


@dataclass(frozen=True, slots=True)
class WriteVote:
    """Write the term and the vote given in it.

    Attributes
    ----------
    term : int
    voted_for : str
        Empty for none.
    """

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class WriteEntries:
    """Write entries at the end of the log.

    Attributes
    ----------
    entries : tuple of LogEntry
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Drop the entries from an index on.

    Attributes
    ----------
    from_index : int
    """

    from_index: int


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Write a snapshot; entries up to its index are no longer needed.

    Attributes
    ----------
    snapshot : Snapshot
    installed : bool
        Whether it came from the leader: the log is then empty after it.
    """

    snapshot: Snapshot
    installed: bool


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the machine.

    Attributes
    ----------
    entries : tuple of LogEntry
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class RestoreStateMachine:
    """Replace the machine's state by a snapshot's.

    Attributes
    ----------
    snapshot : Snapshot
    """

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Note that this member leads, or no longer does.

    Attributes
    ----------
    leads : bool
    term : int
    """

    leads: bool
    term: int
