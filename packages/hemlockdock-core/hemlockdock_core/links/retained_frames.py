"""Frames that a peer has not acknowledged."""

from collections import deque
from dataclasses import dataclass

MAX_RETAINED_BYTES = 256 * 1024
# What is longer than that takes this time at most on a connection that works.
LONG_TRANSFER_S = 5.0


@dataclass(frozen=True, slots=True)
class RetainedFrame:
    """A frame that the peer may not have received.

    Attributes
    ----------
    number : int
    data : bytes
    """

    number: int
    data: bytes


class RetainedFrames:
    """The last frames for a peer, as many as there is room for.

    Attributes
    ----------
    not_retained : int
        Number of unacknowledged frames for which there was no room.
    """

    def __init__(self):
        self.not_retained = 0
        self._frames = deque()
        self._bytes = 0
        self._last_not_retained = 0
        self._not_retained_since_s = 0.0

    @property
    def frames(self):
        """Return the RetainedFrames, oldest first."""
        return list(self._frames)

    def add(self, number, data, now_s):
        """Retain a frame, and drop the oldest ones if there is no room.

        Parameters
        ----------
        number : int
        data : bytes
        now_s : float
        """
        self._frames.append(RetainedFrame(number, data))
        self._bytes += len(data)
        while self._bytes > MAX_RETAINED_BYTES:
            if not self.not_retained:
                self._not_retained_since_s = now_s
            self._last_not_retained = self._frames[0].number
            self.not_retained += 1
            self._drop_oldest()

    def drop_until(self, number):
        """Drop the frames that the peer has acknowledged.

        Parameters
        ----------
        number : int
        """
        while self._frames and self._frames[0].number <= number:
            self._drop_oldest()
        if number >= self._last_not_retained:
            self.not_retained = 0

    def clear(self):
        """Drop all frames."""
        self._frames.clear()
        self._bytes = 0
        self.not_retained = 0

    def is_long_transfer(self, now_s):
        """Tell whether more is on its way than is retained, and may still arrive.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return self.not_retained > 0 and now_s - self._not_retained_since_s < LONG_TRANSFER_S

    def _drop_oldest(self):
        self._bytes -= len(self._frames.popleft().data)
