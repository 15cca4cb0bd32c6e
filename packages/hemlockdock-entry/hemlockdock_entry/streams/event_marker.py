"""Put an id in front of each server-sent event of an answer."""

EVENT_END = b"\n\n"


class EventMarker:
    """Cut an engine's bytes into events and mark each with the place after it.

    A caller that reconnects with the last id it has seen goes on with the next event.

    Parameters
    ----------
    stream_id : str
    offset : int, optional
        Bytes of the answer before the first byte that will be given.
    """

    def __init__(self, stream_id, offset=0):
        self._prefix = f"id: {stream_id}:".encode()
        self._offset = offset
        self._rest = b""

    @property
    def offset(self):
        """Return the number of the answer's bytes in the events already marked."""
        return self._offset

    def feed(self, data):
        """Take the next bytes; return the marked events that are complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
        """
        data = self._rest + data if self._rest else data
        marked = []
        start = 0
        while True:
            end = data.find(EVENT_END, start)
            if end < 0:
                break
            end += len(EVENT_END)
            self._offset += end - start
            marked.append(b"%s%d\n%s" % (self._prefix, self._offset, data[start:end]))
            start = end
        self._rest = data[start:]
        return b"".join(marked)

    def finish(self):
        """Return the bytes after the last complete event."""
        rest, self._rest = self._rest, b""
        self._offset += len(rest)
        return rest
