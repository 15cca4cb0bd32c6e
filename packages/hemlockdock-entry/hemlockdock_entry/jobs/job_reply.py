"""Collect a job's answer."""

import msgspec

from hemlockdock_entry.run_once import StoredAnswer


class JobReply:
    """Collect a job's answer, and hand it on at the end.

    Parameters
    ----------
    on_answer : callable
        Takes the answer as bytes.
    on_refusal : callable
        Takes a Refusal.
    """

    passed = False

    def __init__(self, on_answer, on_refusal):
        self._on_answer = on_answer
        self._on_refusal = on_refusal
        self._head = (0, "")
        self._parts = []

    def head(self, status, content_type, place):
        """Take the start of the answer."""
        self._head = (status, content_type)

    def data(self, data):
        """Take the next bytes of the answer."""
        self._parts.append(data)

    def end(self):
        """Hand on the whole answer."""
        answer = StoredAnswer(*self._head, b"".join(self._parts))
        self._on_answer(msgspec.msgpack.encode(answer))

    def refuse(self, refusal):
        """Hand on a refusal."""
        self._on_refusal(refusal)

    def reset(self):
        """Forget a failed try."""
        self._parts = []
