"""Split a stream of server-sent events at event boundaries."""

import re

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\n\r]*)")


class EventSplitter:
    """Buffer the incomplete event at the end of a stream.

    Attributes
    ----------
    last_id : bytes
        Id of the last complete event; empty before the first.
    event_count : int
        Number of complete events so far.
    """

    def __init__(self):
        self.last_id = b""
        self.event_count = 0
        self._partial = b""

    @property
    def has_partial(self):
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    def discard_partial(self):
        """Discard the buffered incomplete event."""
        self._partial = b""

    def feed(self, data):
        """Add received bytes, and return the bytes up to the end of the last complete event.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
        """
        data = self._partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial = data
            return b""
        end += len(EVENT_END)
        whole = data[:end]
        self._partial = data[end:]
        self.event_count += whole.count(EVENT_END)
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole
