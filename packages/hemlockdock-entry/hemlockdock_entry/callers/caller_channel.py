"""Limit the time a caller has to send a complete request."""

from twisted.web.http import HTTPChannel

from hemlockdock_core.metrics import COUNTERS


class CallerChannel(HTTPChannel):
    """Abort a connection whose request is not complete in time.

    The timer starts when the connection opens and, for later requests, at their first byte. Later
    bytes do not reset it, so a caller that sends single bytes slowly cannot hold a connection open
    indefinitely.
    """

    def __init__(self):
        super().__init__()
        self._request_timer = None

    def connectionMade(self):
        """Register the connection and start the timer for its first request."""
        self.factory.connection_opened(self)
        self._start_timer()
        super().connectionMade()

    def dataReceived(self, data):
        """Receive bytes; start the timer at the first byte of a request."""
        if self._request_timer is None and not self._handlingRequest:
            self._start_timer()
        super().dataReceived(data)

    def allContentReceived(self):
        """Stop the timer, since the request is complete."""
        self._stop_timer()
        super().allContentReceived()

    def connectionLost(self, reason):
        """Unregister the connection."""
        self._stop_timer()
        super().connectionLost(reason)
        self.factory.connection_closed(self)

    def _start_timer(self):
        self._request_timer = self.callLater(
            self.factory.request_timeout_s, self._request_timed_out
        )

    def _stop_timer(self):
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _request_timed_out(self):
        self._request_timer = None
        COUNTERS.increment("entry_slow_callers_dropped")
        self.transport.abortConnection()
