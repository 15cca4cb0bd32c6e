"""Hold what a member finds on its disk."""

from dataclasses import dataclass, field

from hemlockdock_control.consensus.snapshot import Snapshot


@dataclass(slots=True)
class DurableState:
    """Hold what a member finds on its disk.

    Attributes
    ----------
    term : int
    voted_for : str
        Empty for none.
    snapshot : Snapshot
    entries : list of LogEntry
        The entries after the snapshot.
    """

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list = field(default_factory=list)
