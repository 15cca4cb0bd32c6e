"""Buffer a job's response."""

import msgspec

from hemlockdock_entry.run_once import StoredAnswer


class JobReply:
    """Buffer a job's response and deliver it encoded once it is complete.

    Parameters
    ----------
    on_answer : callable
        Takes an encoded ``StoredAnswer``.
    on_refusal : callable
        Takes a Refusal.
    """

    has_started = False

    def __init__(self, on_answer, on_refusal):
        self._on_answer = on_answer
        self._on_refusal = on_refusal
        self._head = (0, "")
        self._parts = []

    def head(self, status, content_type, position):
        """Store the status and content type."""
        self._head = (status, content_type)

    def data(self, data):
        """Buffer the next bytes of the response."""
        self._parts.append(data)

    def end(self):
        """Deliver the complete response."""
        answer = StoredAnswer(*self._head, b"".join(self._parts))
        self._on_answer(msgspec.msgpack.encode(answer))

    def refuse(self, refusal):
        """Deliver a refusal."""
        self._on_refusal(refusal)

    def reset(self):
        """Discard the bytes of a failed attempt."""
        self._parts = []
