"""Frame what is synced in one go, so that a torn write is told from damage.

A frame is a magic number, the payload's length, the payload's checksum and the checksum of
these three, then the payload. One frame holds all that one sync made durable, so nothing valid
can follow a frame that a crash tore.
"""

import zlib
from dataclasses import dataclass
from enum import Enum
from struct import Struct

MAGIC = 0x48444C31
PREFIX = Struct(">III")
CHECKSUM = Struct(">I")
HEADER_BYTES = PREFIX.size + CHECKSUM.size
PAGE_BYTES = 4096


class Ending(Enum):
    """Say how a file of frames ends."""

    CLEAN = "clean"
    TORN = "torn"
    DAMAGED = "damaged"


@dataclass(frozen=True, slots=True)
class Frames:
    """Hold what was read of a file of frames.

    Attributes
    ----------
    payloads : list of bytes
    ending : Ending
    length : int
        Bytes up to the end of the last whole frame.
    """

    payloads: list
    ending: Ending
    length: int


def encode_frame(payload):
    """Return the frame of a payload.

    Parameters
    ----------
    payload : bytes

    Returns
    -------
    bytes
    """
    prefix = PREFIX.pack(MAGIC, len(payload), zlib.crc32(payload))
    return prefix + CHECKSUM.pack(zlib.crc32(prefix)) + payload


def decode_frames(data):
    """Read all frames of a file.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    Frames
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            ending = Ending.TORN if _is_torn(data, offset) else Ending.DAMAGED
            return Frames(payloads, ending, offset)
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Frames(payloads, Ending.CLEAN, offset)


def _payload_at(data, offset):
    length = _length_at(data, offset)
    if length is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + length]
    _, _, checksum = PREFIX.unpack_from(data, offset)
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _length_at(data, offset):
    """Return the payload's length, None where the header is not whole and sound."""
    if len(data) < offset + HEADER_BYTES:
        return None
    prefix = data[offset : offset + PREFIX.size]
    (checksum,) = CHECKSUM.unpack_from(data, offset + PREFIX.size)
    magic, length, _ = PREFIX.unpack(prefix)
    if magic != MAGIC or zlib.crc32(prefix) != checksum:
        return None
    return length


def _is_torn(data, offset):
    """Tell whether a crash alone can explain the bad frame at an offset.

    A crash cuts a file short, or leaves whole pages of the last write as zeros.
    """
    end = len(data)
    length = _length_at(data, offset)
    if length is not None:
        frame_end = offset + HEADER_BYTES + length
        if frame_end > end:
            return True
        return frame_end == end and _has_zero_page(data, offset, end)
    if end < offset + HEADER_BYTES:
        return True
    return _has_zero_page(data, offset, offset + HEADER_BYTES) and _ends_in_zeros(data, offset)


def _has_zero_page(data, start, end):
    while start < end:
        stop = min((start // PAGE_BYTES + 1) * PAGE_BYTES, end)
        if not any(data[start:stop]):
            return True
        start = stop
    return False


def _ends_in_zeros(data, offset):
    """Tell whether no frame begins after a header that was never written."""
    return data.find(MAGIC.to_bytes(4, "big"), offset + 1) < 0
