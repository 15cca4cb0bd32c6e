"""Entries of the replicated log."""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """The kind of data that an entry holds."""

    EMPTY = 0
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes
    ----------
    index : int
        Position in the log, starting at 1.
    term : int
        Term of the leader that created it.
    kind : EntryKind
    data : bytes
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes
