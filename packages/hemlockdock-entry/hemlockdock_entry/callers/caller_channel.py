"""Bound the time in which a caller sends a whole request."""

from twisted.web.http import HTTPChannel

from hemlockdock_core.metrics import COUNTERS


class CallerChannel(HTTPChannel):
    """Drop a connection whose request is not whole in time.

    The timer runs from the first byte of a request, so that a caller who sends one byte now
    and then cannot hold its connection for ever.
    """

    def __init__(self):
        super().__init__()
        self._request_call = None

    def connectionMade(self):
        """Count the connection and wait for its first request."""
        self.factory.opened(self)
        self._start_timer()
        super().connectionMade()

    def dataReceived(self, data):
        """Take bytes from the caller."""
        if self._request_call is None and not self._handlingRequest:
            self._start_timer()
        super().dataReceived(data)

    def allContentReceived(self):
        """Take that a request is whole."""
        self._stop_timer()
        super().allContentReceived()

    def connectionLost(self, reason):
        """Count the connection off."""
        self._stop_timer()
        super().connectionLost(reason)
        self.factory.closed(self)

    def _start_timer(self):
        self._request_call = self.callLater(self.factory.request_timeout_s, self._too_slow)

    def _stop_timer(self):
        if self._request_call is not None:
            self._request_call.cancel()
            self._request_call = None

    def _too_slow(self):
        self._request_call = None
        COUNTERS.increment("entry_slow_callers_dropped")
        self.transport.abortConnection()
