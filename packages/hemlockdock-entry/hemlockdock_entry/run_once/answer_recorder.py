"""Keep a copy of an answer while it is small enough to be stored."""

import msgspec

from hemlockdock_entry.run_once.stored_answer import StoredAnswer


class AnswerRecorder:
    """Keep a copy of an answer while it is small enough to be stored.

    Parameters
    ----------
    limit : int
        Largest body kept, in bytes.
    """

    def __init__(self, limit):
        self._limit = limit
        self._head = (0, "")
        self._chunks = []
        self._size = 0

    def record_head(self, status, content_type):
        """Take the start of an answer.

        Parameters
        ----------
        status : int
        content_type : str
        """
        self._head = (status, content_type)
        self._chunks = []
        self._size = 0

    def record_data(self, data):
        """Take the next bytes of the answer.

        Parameters
        ----------
        data : bytes
        """
        self._size += len(data)
        if self._size > self._limit:
            self._chunks.clear()
            return
        self._chunks.append(data)

    def payload(self):
        """Return the whole answer as a FinishRun carries it; empty where it is too large.

        Returns
        -------
        bytes
        """
        if self._size > self._limit:
            return b""
        return msgspec.msgpack.encode(StoredAnswer(*self._head, b"".join(self._chunks)))
