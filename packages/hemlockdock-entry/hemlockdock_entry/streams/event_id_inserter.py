"""Insert an ``id`` field into each server-sent event of a response."""

from hemlockdock_core.http.event_end import end_of_next_event


class EventIdInserter:
    """Split an engine's output into events and give each the offset of its end as its ID.

    A caller that reconnects with the last ID it received resumes at the next event.

    Parameters
    ----------
    stream_id : str
    offset : int, optional
        Offset in the response of the first byte that will be fed.
    """

    def __init__(self, stream_id, offset=0):
        self._prefix = f"id: {stream_id}:".encode()
        self._offset = offset
        self._incomplete = b""

    @property
    def offset(self):
        """Offset in the response of the end of the last event returned."""
        return self._offset

    def feed(self, data):
        """Add the next bytes; return the completed events with their IDs.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
        """
        data = self._incomplete + data if self._incomplete else data
        events = []
        start = 0
        while True:
            end = end_of_next_event(data, start)
            if not end:
                break
            self._offset += end - start
            events.append(b"%s%d\n%s" % (self._prefix, self._offset, data[start:end]))
            start = end
        self._incomplete = data[start:]
        return b"".join(events)

    def flush(self):
        """Return the bytes after the last complete event, and count them as returned."""
        rest, self._incomplete = self._incomplete, b""
        self._offset += len(rest)
        return rest
