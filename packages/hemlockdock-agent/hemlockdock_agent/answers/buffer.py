"""Store the bytes of one answer."""

CHUNK_BYTES = 65_536


class AnswerBuffer:
    """Store all bytes of one answer received so far.

    Attributes
    ----------
    request_id : str
    status : int
        HTTP status; 0 until the response head was received.
    content_type : str
    ended : bool
    refusal : Refusal or None
        Set if the answer ended incomplete.
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
        """Return the number of bytes stored."""
        return len(self._body)

    def append(self, data):
        """Append bytes.

        Parameters
        ----------
        data : bytes
        """
        self._body += data

    def end(self, refusal, now_ms):
        """Mark the answer as ended.

        Parameters
        ----------
        refusal : Refusal or None
        now_ms : float
        """
        self.ended = True
        self.refusal = refusal
        self.ended_ms = now_ms

    def chunks_from(self, offset):
        """Yield the bytes from an offset in chunks.

        Parameters
        ----------
        offset : int
            At most ``length``.

        Yields
        ------
        tuple of (int, bytes)
            Offset and bytes of one chunk.
        """
        for start in range(offset, self.length, CHUNK_BYTES):
            yield start, bytes(self._body[start : start + CHUNK_BYTES])
