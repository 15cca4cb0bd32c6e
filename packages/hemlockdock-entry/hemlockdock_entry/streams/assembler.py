"""Reassemble a response from frames that may be lost, repeated or out of order."""

from dataclasses import dataclass
from enum import Enum

MAX_PENDING_BYTES = 262_144


class AssemblyAction(Enum):
    """What to do after a frame of the response."""

    PASS = "pass"  # noqa: S105
    DISCARD = "discard"
    GAP = "gap"
    END = "end"


@dataclass(frozen=True, slots=True)
class AssemblyResult:
    """The result of adding one frame.

    Attributes
    ----------
    step : AssemblyAction
    data : bytes
        New bytes of the response, in order.
    """

    step: AssemblyAction
    data: bytes = b""


DISCARDED = AssemblyResult(AssemblyAction.DISCARD)
GAP = AssemblyResult(AssemblyAction.GAP)
ENDED = AssemblyResult(AssemblyAction.END)


class Assembler:
    """Deliver the bytes of a response in order, each exactly once.

    Chunks that arrive out of order are buffered, up to ``MAX_PENDING_BYTES``, until the bytes
    before them have arrived.

    Parameters
    ----------
    offset : int, optional
        Number of bytes that the caller already has.

    Attributes
    ----------
    offset : int
        Number of bytes delivered so far.
    """

    def __init__(self, offset=0):
        self.offset = offset
        self._pending_by_offset = {}
        self._pending_bytes = 0

    def chunk(self, offset, data):
        """Add a chunk of the response.

        Parameters
        ----------
        offset : int
        data : bytes

        Returns
        -------
        AssemblyResult
        """
        if offset > self.offset:
            self._buffer(offset, data)
            return GAP
        new = data[self.offset - offset :]
        if not new:
            return DISCARDED
        self.offset += len(new)
        if not self._pending_by_offset:
            return AssemblyResult(AssemblyAction.PASS, new)
        return AssemblyResult(AssemblyAction.PASS, new + self._take_contiguous())

    def end(self, length):
        """Handle the end of the response.

        Parameters
        ----------
        length : int

        Returns
        -------
        AssemblyResult
            ``GAP`` if bytes are missing.
        """
        if self.offset < length:
            return GAP
        return ENDED

    def _buffer(self, offset, data):
        if offset in self._pending_by_offset or self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            return
        self._pending_by_offset[offset] = data
        self._pending_bytes += len(data)

    def _take_contiguous(self):
        taken = []
        for offset in sorted(self._pending_by_offset):
            if offset > self.offset:
                break
            data = self._pending_by_offset.pop(offset)
            self._pending_bytes -= len(data)
            new = data[self.offset - offset :]
            self.offset += len(new)
            taken.append(new)
        return b"".join(taken)
