"""Recognition of a response's status and the end of its head in the bytes of a connection."""

import re

# Lines may end without a carriage return.
HEAD_END = re.compile(rb"\n\r?\n")
# Last bytes of a part that may begin the end of a head.
TAIL_BYTES = len(b"\n\r")
# Status line of a response that is followed by another one, until the final response.
INTERIM_STATUS = re.compile(rb"HTTP/\d\.\d 1\d\d")
# No request asks for another protocol, so that 101 answers none.
KNOWN_STATUS = re.compile(rb"HTTP/\d\.\d (?!101)[1-5]\d\d(?!\d)")
STATUS_BYTES = len(b"HTTP/1.1 100 ")
# Of a final response and of all interim ones before it. Many short lines take many times the memory
# of their bytes.
MAX_HEAD_BYTES = 65_536
MAX_HEAD_LINES = 1_024


class HeadTracker:
    """Tracks whether the head of a final response has ended, without a copy of it.

    Attributes
    ----------
    has_unknown_status : bool
        Whether a response has a status that no answer may have.
    """

    def __init__(self):
        self.has_unknown_status = False
        self._in_head = True
        self._bytes = 0
        self._lines = 0
        self._status = b""
        self._tail = b""

    @property
    def is_too_long(self):
        """Return whether the head has more bytes or lines than a head may have."""
        return self._bytes > MAX_HEAD_BYTES or self._lines > MAX_HEAD_LINES

    @property
    def is_malformed(self):
        """Return whether the head cannot be that of an answer."""
        return self.is_too_long or self.has_unknown_status

    def feed(self, data):
        """Add the next bytes of the connection.

        Parameters
        ----------
        data : bytes
        """
        while self._in_head and data and not self.is_malformed:
            data = self._feed_head(data)

    def _feed_head(self, data):
        """Add bytes of one head; return those after it."""
        self._status += data[: STATUS_BYTES - len(self._status)]
        received = self._tail + data
        end = HEAD_END.search(received)
        if end is not None or len(self._status) == STATUS_BYTES:
            self.has_unknown_status = KNOWN_STATUS.match(self._status) is None
        head = data if end is None else data[: end.end() - len(self._tail)]
        self._bytes += len(head)
        self._lines += head.count(b"\n")
        if end is None:
            self._tail = received[-TAIL_BYTES:]
            return b""
        self._tail = b""
        self._in_head = INTERIM_STATUS.match(self._status) is not None
        self._status = b""
        return data[len(head) :]
