"""The persistent state of a member."""

from dataclasses import dataclass, field

from hemlockdock_control.consensus.snapshot import Snapshot


@dataclass(slots=True)
class DurableState:
    """The persistent state that a member recovers from its disk at startup.

    Attributes
    ----------
    term : int
    voted_for : str
        Id of the candidate voted for in this term, empty if there is none.
    snapshot : Snapshot
    entries : list of LogEntry
        Log entries after the snapshot.
    """

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list = field(default_factory=list)
