"""Write-ahead log in segment files, with one sync for each batch of records."""

import logging

import msgspec

from hemlockdock_control.storage.errors import DamagedStorageError, NewerFormatError
from hemlockdock_control.storage.frames import Ending, decode_frames, encode_frame
from hemlockdock_control.storage.identity import FORMAT
from hemlockdock_control.storage.records import DECODER, ENCODER, EntriesRecord, SegmentStart

logger = logging.getLogger(__name__)

SUFFIX = ".wal"
SEGMENT_BYTES = 8 * 1024 * 1024


def segment_name(sequence):
    """Return the file name of a segment.

    Parameters
    ----------
    sequence : int

    Returns
    -------
    str
    """
    return f"{sequence:016d}{SUFFIX}"


def segment_names(disk):
    """Return the file names of all segments, in order.

    Parameters
    ----------
    disk : Disk

    Returns
    -------
    list of str
    """
    return [name for name in disk.names() if name.endswith(SUFFIX)]


class Wal:
    """Write-ahead log; records are appended to the last segment.

    Parameters
    ----------
    disk : Disk
    folder_id : str
    segment_bytes : int, optional
        Size from which on a new segment is due.
    """

    def __init__(self, disk, folder_id, segment_bytes=SEGMENT_BYTES):
        self._disk = disk
        self._folder_id = folder_id
        self._segment_bytes = segment_bytes
        self._sequence = 0
        self._size = 0
        self._last_index_by_sequence = {}

    def read(self):
        """Read all records; a torn tail is truncated with a logged warning.

        Returns
        -------
        list of Record

        Raises
        ------
        DamagedStorageError
        NewerFormatError
        """
        records = []
        names = segment_names(self._disk)
        for position, name in enumerate(names):
            segment_records = self._read_segment(name, position == len(names) - 1)
            if not segment_records:
                # A crash tore the first frame of the segment, so it contains no synced data.
                continue
            self._update_last_index(self._sequence, segment_records)
            records.extend(segment_records)
        if not records:
            raise DamagedStorageError("write-ahead log", "no segment exists")
        return records

    def start_segment(self, term, voted_for):
        """Start a new segment durably.

        Parameters
        ----------
        term : int
        voted_for : str
        """
        if self._sequence:
            self._disk.close_file(segment_name(self._sequence))
        previous_length = self._size
        self._sequence += 1
        self._size = 0
        start = SegmentStart(
            FORMAT, self._sequence, self._folder_id, term, voted_for, previous_length
        )
        self._last_index_by_sequence[self._sequence] = 0
        self.append([start])
        self._disk.sync_folder()

    def append(self, records):
        """Append records and make them durable.

        Parameters
        ----------
        records : list of Record
        """
        frame = encode_frame(ENCODER.encode(records))
        name = segment_name(self._sequence)
        self._disk.append(name, frame)
        self._disk.sync(name)
        self._size += len(frame)
        self._update_last_index(self._sequence, records)

    @property
    def is_full(self):
        """Return whether a new segment is due."""
        return self._size >= self._segment_bytes

    def remove_segments_through(self, index):
        """Remove the oldest segments that contain only entries up to an index.

        Parameters
        ----------
        index : int
        """
        for sequence in sorted(self._last_index_by_sequence):
            if sequence == self._sequence or self._last_index_by_sequence[sequence] > index:
                return
            self._disk.remove(segment_name(sequence))
            del self._last_index_by_sequence[sequence]

    def _read_segment(self, name, is_last):
        data = self._disk.read(name)
        frames = decode_frames(data)
        may_be_torn = is_last and (frames.payloads or self._sequence)
        if frames.ending is Ending.DAMAGED or (frames.ending is Ending.TORN and not may_be_torn):
            raise DamagedStorageError(
                f"{name} at byte {frames.length}", "the checksum does not match"
            )
        if not frames.payloads and not may_be_torn:
            raise DamagedStorageError(name, "the segment is empty")
        if frames.ending is Ending.TORN:
            self._truncate_torn_tail(name, frames.length, len(data))
        if not frames.payloads:
            self._disk.remove(name)
            self._disk.sync_folder()
            return []
        records = []
        for payload in frames.payloads:
            records.extend(self._decode(name, payload))
        self._check_start(name, records[0])
        self._size = frames.length
        return records

    def _truncate_torn_tail(self, name, kept_bytes, found_bytes):
        logger.warning(
            "truncated torn tail of write-ahead log",
            extra={"segment": name, "kept": kept_bytes, "dropped": found_bytes - kept_bytes},
        )
        self._disk.truncate(name, kept_bytes)

    def _decode(self, name, payload):
        try:
            return DECODER.decode(payload)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise DamagedStorageError(name, f"a record is malformed: {error}") from None

    def _check_start(self, name, start):
        if not isinstance(start, SegmentStart):
            raise DamagedStorageError(name, "the segment has no start record")
        if start.format > FORMAT:
            raise NewerFormatError(name, start.format, FORMAT)
        if start.folder_id != self._folder_id:
            raise DamagedStorageError(name, "the segment belongs to another folder")
        follows = start.sequence == self._sequence + 1 or not self._sequence
        if not follows or name != segment_name(start.sequence):
            raise DamagedStorageError(name, f"a segment before {start.sequence} is missing")
        if self._sequence and start.previous_length != self._size:
            raise DamagedStorageError(name, "the previous segment was cut short")
        self._sequence = start.sequence

    def _update_last_index(self, sequence, records):
        last = self._last_index_by_sequence.get(sequence, 0)
        for record in records:
            if isinstance(record, EntriesRecord):
                last = max(last, record.entries[-1].index)
        self._last_index_by_sequence[sequence] = last
