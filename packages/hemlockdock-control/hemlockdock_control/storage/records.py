"""Define the records of the write-ahead log."""

from functools import singledispatch

import msgspec

from hemlockdock_control.consensus.effects import TruncateLog, WriteEntries, WriteVote
from hemlockdock_control.consensus.entry import LogEntry


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Be the base of all records."""


class SegmentStart(Record, frozen=True):
    """Begin a segment.

    Attributes
    ----------
    format : int
    sequence : int
    folder_id : str
    term : int
        As of the segment's beginning, since earlier segments are removed.
    voted_for : str
    previous_length : int
        Bytes of the segment before, which is complete.
    """

    format: int
    sequence: int
    folder_id: str
    term: int
    voted_for: str
    previous_length: int


class VoteRecord(Record, frozen=True):
    """Record the term and the vote given in it.

    Attributes
    ----------
    term : int
    voted_for : str
    """

    term: int
    voted_for: str


class EntriesRecord(Record, frozen=True):
    """Record entries.

    Attributes
    ----------
    entries : tuple of LogEntry
    """

    entries: tuple[LogEntry, ...]


class TruncateRecord(Record, frozen=True):
    """Record that the entries from an index on were dropped.

    Attributes
    ----------
    from_index : int
    """

    from_index: int


class ResetRecord(Record, frozen=True):
    """Record that the log begins anew after an index.

    Attributes
    ----------
    index : int
    """

    index: int


Records = tuple[SegmentStart | VoteRecord | EntriesRecord | TruncateRecord | ResetRecord, ...]

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Records)


@singledispatch
def record_of(effect):
    """Return the record of a write.

    Parameters
    ----------
    effect : WriteVote, WriteEntries or TruncateLog

    Returns
    -------
    Record
    """
    raise TypeError(f"no such write: {effect!r}")


@record_of.register
def _(effect: WriteVote):
    return VoteRecord(effect.term, effect.voted_for)


@record_of.register
def _(effect: WriteEntries):
    return EntriesRecord(effect.entries)


@record_of.register
def _(effect: TruncateLog):
    return TruncateRecord(effect.from_index)
