"""Records of the write-ahead log."""

from functools import singledispatch

import msgspec

from hemlockdock_control.consensus.effects import TruncateLog, WriteEntries, WriteVote
from hemlockdock_control.consensus.entry import LogEntry


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all records."""


class SegmentStart(Record, frozen=True):
    """First record of a segment.

    Attributes
    ----------
    format : int
    sequence : int
    folder_id : str
    term : int
        Term at the start of the segment, repeated here because earlier segments are removed.
    voted_for : str
    previous_length : int
        Length of the previous segment, which is complete, in bytes.
    """

    format: int
    sequence: int
    folder_id: str
    term: int
    voted_for: str
    previous_length: int


class VoteRecord(Record, frozen=True):
    """Current term and the vote cast in it.

    Attributes
    ----------
    term : int
    voted_for : str
    """

    term: int
    voted_for: str


class EntriesRecord(Record, frozen=True):
    """Appended log entries.

    Attributes
    ----------
    entries : tuple of LogEntry
    """

    entries: tuple[LogEntry, ...]


class TruncateRecord(Record, frozen=True):
    """Removal of all log entries from an index on.

    Attributes
    ----------
    from_index : int
    """

    from_index: int


class ResetRecord(Record, frozen=True):
    """Restart of an empty log after an index.

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
    """Return the log record of a write effect.

    Parameters
    ----------
    effect : WriteVote, WriteEntries or TruncateLog

    Returns
    -------
    Record
    """
    raise TypeError(f"unsupported write: {effect!r}")


@record_of.register
def _(effect: WriteVote):
    return VoteRecord(effect.term, effect.voted_for)


@record_of.register
def _(effect: WriteEntries):
    return EntriesRecord(effect.entries)


@record_of.register
def _(effect: TruncateLog):
    return TruncateRecord(effect.from_index)
