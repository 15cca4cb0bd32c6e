"""Effects: the I/O that the consensus core asks its member task to carry out."""

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
        Whether the receiver relies on earlier writes of this member, such as a vote or
        acknowledged entries, so that these must be durable before the message is sent.
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
        Empty if no vote was given.
    """

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class WriteEntries:
    """Append entries to the log on disk.

    Attributes
    ----------
    entries : tuple of LogEntry
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Remove the entries at and after an index.

    Attributes
    ----------
    from_index : int
    """

    from_index: int


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Write a snapshot; log entries up to its index may be removed afterwards.

    Attributes
    ----------
    snapshot : Snapshot
    installed : bool
        Whether it was received from the leader, in which case the log after it is empty.
    """

    snapshot: Snapshot
    installed: bool


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine.

    Attributes
    ----------
    entries : tuple of LogEntry
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class RestoreStateMachine:
    """Replace the state of the state machine by a snapshot.

    Attributes
    ----------
    snapshot : Snapshot
    """

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Report that this member became the leader or ceased to be it.

    Attributes
    ----------
    leads : bool
    term : int
    """

    leads: bool
    term: int
