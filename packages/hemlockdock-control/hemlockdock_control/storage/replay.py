"""Rebuild a member's durable state from the records of its write-ahead log."""

from functools import singledispatchmethod

from hemlockdock_control.storage.errors import DamagedStorageError
from hemlockdock_control.storage.records import (
    EntriesRecord,
    ResetRecord,
    SegmentStart,
    TruncateRecord,
    VoteRecord,
)

LOCATION = "write-ahead log"


class Replay:
    """Durable state rebuilt by applying records in order.

    Attributes
    ----------
    term : int
    voted_for : str
    entries : list of LogEntry
    """

    def __init__(self):
        self.term = 0
        self.voted_for = ""
        self.entries = []
        self._next_index = None

    @singledispatchmethod
    def apply(self, record):
        """Apply one record.

        Parameters
        ----------
        record : Record

        Raises
        ------
        DamagedStorageError
            If the record is inconsistent with the earlier ones.
        """
        raise TypeError(f"unsupported record: {record!r}")

    @apply.register
    def _(self, record: SegmentStart):
        self._set_vote(record.term, record.voted_for)

    @apply.register
    def _(self, record: VoteRecord):
        self._set_vote(record.term, record.voted_for)

    @apply.register
    def _(self, record: EntriesRecord):
        for entry in record.entries:
            if self._next_index is not None and entry.index != self._next_index:
                found = f"entry {entry.index} follows entry {self._next_index - 1}"
                raise DamagedStorageError(LOCATION, found)
            self.entries.append(entry)
            self._next_index = entry.index + 1

    @apply.register
    def _(self, record: TruncateRecord):
        while self.entries and self.entries[-1].index >= record.from_index:
            self.entries.pop()
        self._next_index = record.from_index

    @apply.register
    def _(self, record: ResetRecord):
        self.entries.clear()
        self._next_index = record.index + 1

    def entries_after(self, snapshot):
        """Return the entries that follow a snapshot.

        Parameters
        ----------
        snapshot : Snapshot

        Returns
        -------
        list of LogEntry or None
            None if the log does not contain the last entry of the snapshot, and must be reset.

        Raises
        ------
        DamagedStorageError
            If entries between the snapshot and the log are missing.
        """
        first = self.entries[0].index if self.entries else self._next_index
        if first is not None and first > snapshot.index + 1:
            found = f"it begins at entry {first}, the snapshot ends at entry {snapshot.index}"
            raise DamagedStorageError(LOCATION, found)
        if not self.entries:
            return [] if first in (None, snapshot.index + 1) else None
        if self.entries[-1].index < snapshot.index:
            return None
        position = snapshot.index - self.entries[0].index
        if position >= 0 and self.entries[position].term != snapshot.term:
            return None
        return self.entries[position + 1 :]

    def _set_vote(self, term, voted_for):
        if term < self.term:
            raise DamagedStorageError(LOCATION, f"term {term} follows term {self.term}")
        self.term = term
        self.voted_for = voted_for
