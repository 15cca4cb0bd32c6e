"""Bound the size of a caller's request body."""

from twisted.web.server import Request

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.callers.write import write_refusal

DISCARDED_BODY_LIMITS = 4


class CallerRequest(Request):
    """Keep a body up to the limit; refuse it beyond.

    A body that is too large is read on and discarded for a while, so that the caller sees the
    refusal in place of a reset connection.
    """

    def __init__(self, channel, *args, **kwargs):
        super().__init__(channel, *args, **kwargs)
        self._received = 0
        self._limit = channel.factory.body_limit
        self._too_large = False

    def gotLength(self, length):
        """Take the announced length of the body, None for a chunked one."""
        if length is not None and length > self._limit:
            self._too_large = True
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Take a part of the body."""
        self._received += len(data)
        if self._received > self._limit:
            self._too_large = True
        if self._too_large:
            self._discard()
            return
        super().handleContentChunk(data)

    def process(self):
        """Answer the call."""
        if not self._too_large:
            super().process()
            return
        message = f"a body may have at most {self._limit} bytes"
        write_refusal(self, Refusal.of(ErrorKind.TOO_LARGE, message))

    def _discard(self):
        if self._received > self._limit * DISCARDED_BODY_LIMITS:
            COUNTERS.increment("entry_huge_bodies_dropped")
            self.channel.transport.abortConnection()
