"""Put an answer's frames together, byte for byte."""

from dataclasses import dataclass
from enum import Enum


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
    """Accept only the bytes that follow those already accepted.

    Parameters
    ----------
    offset : int, optional
        Bytes that the caller has already.

    Attributes
    ----------
    offset : int
        Bytes accepted so far.
    length : int or None
        Length of the whole answer once an end has named it.
    """

    def __init__(self, offset=0):
        self.offset = offset
        self.length = None

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
            return GAP
        new = data[self.offset - offset :]
        if not new:
            return DISCARDED
        self.offset += len(new)
        return Assembled(Step.PASS, new)

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
        self.length = length
        if self.offset < length:
            return GAP
        return ENDED
