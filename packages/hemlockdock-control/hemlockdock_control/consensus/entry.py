"""Define one entry of the replicated log."""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """Say what an entry's data holds."""

    EMPTY = 0
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one entry of the replicated log.

    Attributes
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended it.
    kind : EntryKind
    data : bytes
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes
