"""Split a stream of events, so that only whole ones are passed on."""

import re

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\n\r]*)")


class EventSplitter:
    """Hold back the part of an event that isn't whole yet.

    Attributes
    ----------
    last_event_id : bytes
        Id of the last whole event; empty before the first.
    event_count : int
        Whole events so far.
    """

    def __init__(self):
        self.last_event_id = b""
        self.event_count = 0
        self._partial = b""

    @property
    def has_partial(self):
        """Tell whether a part of an event is held back."""
        return bool(self._partial)

    def discard_partial(self):
        """Forget the part of an event that is held back."""
        self._partial = b""

    def feed(self, data):
        """Take bytes, and return those up to the end of the last whole event.

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
            self.last_event_id = ids[-1]
        return whole
