"""Framing of durable data, which distinguishes torn writes from corruption.

A frame consists of a header and the payload. The header is a magic number, the length of the
payload, the checksum of the payload, and the checksum of these three fields. Each sync writes
exactly one frame, so no valid frame can follow one that was torn by a crash.
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
    """Condition of the end of a file of frames."""

    CLEAN = "clean"
    TORN = "torn"
    DAMAGED = "damaged"


@dataclass(frozen=True, slots=True)
class Frames:
    """Frames read from a file.

    Attributes
    ----------
    payloads : list of bytes
    ending : Ending
    length : int
        Length of the file up to the end of the last complete frame, in bytes.
    """

    payloads: list
    ending: Ending
    length: int


def encode_frame(payload):
    """Encode a payload as a frame.

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
    """Decode all frames of a file.

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
    """Return the length of the payload, or None if the header is incomplete or corrupt."""
    if len(data) < offset + HEADER_BYTES:
        return None
    prefix = data[offset : offset + PREFIX.size]
    (checksum,) = CHECKSUM.unpack_from(data, offset + PREFIX.size)
    magic, length, _ = PREFIX.unpack(prefix)
    if magic != MAGIC or zlib.crc32(prefix) != checksum:
        return None
    return length


def _is_torn(data, offset):
    """Return whether a crash alone explains the invalid frame at an offset.

    A crash truncates the file, or leaves whole pages of the last write as zeros.
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
    return _has_zero_page(data, offset, offset + HEADER_BYTES) and _no_frame_follows(data, offset)


def _has_zero_page(data, start, end):
    while start < end:
        stop = min((start // PAGE_BYTES + 1) * PAGE_BYTES, end)
        if not any(data[start:stop]):
            return True
        start = stop
    return False


def _no_frame_follows(data, offset):
    """Return whether no frame header starts after an offset."""
    return data.find(MAGIC.to_bytes(4, "big"), offset + 1) < 0
