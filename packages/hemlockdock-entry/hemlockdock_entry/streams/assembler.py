"""Put an answer's frames together, byte for byte."""

from dataclasses import dataclass
from enum import Enum

MAX_EARLY_BYTES = 262_144


class Step(Enum):
    """Name what one frame means for the answer."""

    PASS = "pass"  # noqa: S105
    DISCARD = "discard"
    GAP = "gap"
    END = "end"


@dataclass(frozen=True, slots=True)
class Assembled:
    """Hold what one frame yields.

    Attributes
    ----------
    step : Step
    data : bytes
        New bytes of the answer, in order.
    """

    step: Step
    data: bytes = b""


DISCARDED = Assembled(Step.DISCARD)
GAP = Assembled(Step.GAP)
ENDED = Assembled(Step.END)


class Assembler:
    """Hand on an answer's bytes in order, each once.

    Parts that come too early are kept up to a limit, until those before them have come.

    Parameters
    ----------
    offset : int, optional
        Bytes that the caller has already.

    Attributes
    ----------
    offset : int
        Bytes handed on so far.
    """

    def __init__(self, offset=0):
        self.offset = offset
        self._early_by_offset = {}
        self._early_bytes = 0

    def chunk(self, offset, data):
        """Take a part of the answer.

        Parameters
        ----------
        offset : int
        data : bytes

        Returns
        -------
        Assembled
        """
        if offset > self.offset:
            self._keep(offset, data)
            return GAP
        new = data[self.offset - offset :]
        if not new:
            return DISCARDED
        self.offset += len(new)
        if not self._early_by_offset:
            return Assembled(Step.PASS, new)
        return Assembled(Step.PASS, new + self._take_early())

    def end(self, length):
        """Take the end of the answer.

        Parameters
        ----------
        length : int

        Returns
        -------
        Assembled
            ``GAP`` where bytes are missing.
        """
        if self.offset < length:
            return GAP
        return ENDED

    def _keep(self, offset, data):
        if offset in self._early_by_offset or self._early_bytes + len(data) > MAX_EARLY_BYTES:
            return
        self._early_by_offset[offset] = data
        self._early_bytes += len(data)

    def _take_early(self):
        taken = []
        for offset in sorted(self._early_by_offset):
            if offset > self.offset:
                break
            data = self._early_by_offset.pop(offset)
            self._early_bytes -= len(data)
            new = data[self.offset - offset :]
            self.offset += len(new)
            taken.append(new)
        return b"".join(taken)
