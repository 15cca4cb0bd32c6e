"""Limit the size of a caller's request body."""

from twisted.web.server import Request

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.callers.responses import write_refusal

# The connection is aborted once a caller has sent this many times the body limit.
DISCARD_LIMIT_FACTOR = 4


class CallerRequest(Request):
    """Accept request bodies up to the limit; refuse larger ones.

    A body that is too large is still read and discarded, up to ``DISCARD_LIMIT_FACTOR`` times the
    limit, so that the caller receives the refusal instead of a connection reset.
    """

    def __init__(self, channel, *args, **kwargs):
        super().__init__(channel, *args, **kwargs)
        self._received = 0
        self._limit = channel.factory.body_limit
        self._too_large = False

    def gotLength(self, length):
        """Handle the declared body length; None for a chunked body."""
        if length is not None and length > self._limit:
            self._too_large = True
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Handle a chunk of the body."""
        self._received += len(data)
        if self._received > self._limit:
            self._too_large = True
        if self._too_large:
            self._discard()
            return
        super().handleContentChunk(data)

    def process(self):
        """Process the request, or refuse it if its body is too large."""
        if not self._too_large:
            super().process()
            return
        message = f"a body may have at most {self._limit} bytes"
        write_refusal(self, Refusal.of(ErrorKind.TOO_LARGE, message))

    def _discard(self):
        if self._received > self._limit * DISCARD_LIMIT_FACTOR:
            COUNTERS.increment("entry_huge_bodies_dropped")
            self.channel.transport.abortConnection()
