"""Split a stream of server-sent events at event boundaries."""

import re

from hemlockdock_core.http.event_end import EVENT_ENDS, end_of_last_event, is_inside_event

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
        """Return whether an incomplete event is buffered; blank lines are none."""
        return is_inside_event(self._partial)

    @property
    def partial_bytes(self):
        """Return the number of buffered bytes."""
        return len(self._partial)

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
        end = end_of_last_event(data)
        whole = data[:end]
        self._partial = data[end:]
        self.event_count += sum(whole.count(event_end) for event_end in EVENT_ENDS)
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def flush(self):
        """Return the bytes after the last complete event, and remove them from the buffer.

        Returns
        -------
        bytes
        """
        rest, self._partial = self._partial, b""
        return rest
