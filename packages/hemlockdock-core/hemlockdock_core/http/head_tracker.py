"""Recognition of the end of a response's head in the bytes of a connection."""

import re

# Lines may end without a carriage return.
HEAD_END = re.compile(rb"\n\r?\n")
# Last bytes of a part that may begin the end of a head.
TAIL_BYTES = len(b"\n\r")
# Status line of a response that is followed by another one, until the final response.
INTERIM_STATUS = re.compile(rb"HTTP/\d\.\d 1\d\d")
STATUS_BYTES = len(b"HTTP/1.1 100")
# Of a final response and of all interim ones before it.
MAX_HEAD_BYTES = 65_536


class HeadTracker:
    """Tracks whether the head of a final response has ended, without a copy of it."""

    def __init__(self):
        self._in_head = True
        self._bytes = 0
        self._status = b""
        self._tail = b""

    @property
    def is_too_long(self):
        """Return whether the head has more than ``MAX_HEAD_BYTES`` and has not ended."""
        return self._in_head and self._bytes > MAX_HEAD_BYTES

    def feed(self, data):
        """Add the next bytes of the connection.

        Parameters
        ----------
        data : bytes
        """
        while self._in_head and data and not self.is_too_long:
            data = self._feed_head(data)

    def _feed_head(self, data):
        """Add bytes of one head; return those after it."""
        self._status += data[: STATUS_BYTES - len(self._status)]
        received = self._tail + data
        end = HEAD_END.search(received)
        if end is None:
            self._bytes += len(data)
            self._tail = received[-TAIL_BYTES:]
            return b""
        rest = received[end.end() :]
        self._bytes += len(data) - len(rest)
        self._tail = b""
        self._in_head = INTERIM_STATUS.match(self._status) is not None
        self._status = b""
        return rest
