"""Record answers that are small enough to be stored."""

import msgspec

from hemlockdock_entry.run_once.stored_answer import StoredAnswer


class AnswerRecorder:
    """Copy of an answer, dropped once it is too large to be stored.

    Parameters
    ----------
    limit : int
        Maximum body size that is stored, in bytes.
    """

    def __init__(self, limit):
        self._limit = limit
        self._head = (0, "")
        self._chunks = []
        self._size = 0

    def record_head(self, status, content_type):
        """Record the head of an answer and discard any earlier one.

        Parameters
        ----------
        status : int
        content_type : str
        """
        self._head = (status, content_type)
        self._chunks = []
        self._size = 0

    def record_data(self, data):
        """Record the next bytes of the answer.

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
        """Return the answer encoded for a FinishRun command, empty if it is too large.

        Returns
        -------
        bytes
        """
        if self._size > self._limit:
            return b""
        return msgspec.msgpack.encode(StoredAnswer(*self._head, b"".join(self._chunks)))
