"""Hold one answer's bytes."""

CHUNK_BYTES = 65_536


class AnswerBuffer:
    """Hold one answer's bytes, from the first one on.

    Attributes
    ----------
    request_id : str
    status : int
        HTTP status; 0 until the head is known.
    content_type : str
    ended : bool
    refusal : Refusal or None
        Set where the answer was broken off.
    ended_ms : float
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.content_type = ""
        self.ended = False
        self.refusal = None
        self.ended_ms = 0.0
        self._body = bytearray()

    @property
    def length(self):
        """Return the bytes held."""
        return len(self._body)

    def append(self, data):
        """Add bytes at the end.

        Parameters
        ----------
        data : bytes
        """
        self._body += data

    def end(self, refusal, now_ms):
        """Note that nothing follows.

        Parameters
        ----------
        refusal : Refusal or None
        now_ms : float
        """
        self.ended = True
        self.refusal = refusal
        self.ended_ms = now_ms

    def chunks_from(self, offset):
        """Yield the bytes from an offset on.

        Parameters
        ----------
        offset : int
            At most ``length``.

        Yields
        ------
        tuple of (int, bytes)
            Offset and bytes of one part.
        """
        for start in range(offset, self.length, CHUNK_BYTES):
            yield start, bytes(self._body[start : start + CHUNK_BYTES])
