"""Accept callers' connections within the configured limits."""

from twisted.internet.defer import Deferred, succeed
from twisted.web.resource import Resource
from twisted.web.server import Site

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.callers.caller_channel import CallerChannel
from hemlockdock_entry.callers.caller_request import CallerRequest

BYTES_PER_KB = 1_024
MS_PER_S = 1_000
IDLE_TIMEOUT_S = 75
FLUSH_TIMEOUT_S = 5


class CallerSite(Site):
    """Accept callers' connections up to a maximum number.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings

    Attributes
    ----------
    body_limit : int
        Largest request body, in bytes.
    request_timeout_s : float
        Time a caller has to send a complete request.
    channels : set of CallerChannel
        Open connections.
    """

    protocol = CallerChannel

    def __init__(self, reactor, settings):
        super().__init__(
            Resource(),
            requestFactory=CallerRequest,
            parsePOSTFormSubmission=False,
            reactor=reactor,
            timeout=IDLE_TIMEOUT_S,
        )
        self.body_limit = settings.entry.body_limit_kb * BYTES_PER_KB
        self.request_timeout_s = settings.entry.header_timeout_ms / MS_PER_S
        self.channels = set()
        self._all_closed = None
        self._max_connections = settings.entry.connections

    def set_resource(self, resource):
        """Set the resource that handles requests from now on.

        Parameters
        ----------
        resource : twisted.web.resource.IResource
        """
        self.resource = resource

    def buildProtocol(self, address):
        """Return a protocol for a new connection, or None if the maximum is reached."""
        if len(self.channels) >= self._max_connections:
            COUNTERS.increment("entry_connections_refused")
            return None
        return super().buildProtocol(address)

    def connection_opened(self, channel):
        """Register an open connection.

        Parameters
        ----------
        channel : CallerChannel
        """
        self.channels.add(channel)

    def connection_closed(self, channel):
        """Unregister a closed connection.

        Parameters
        ----------
        channel : CallerChannel
        """
        self.channels.discard(channel)
        if self._all_closed is not None and not self.channels:
            all_closed, self._all_closed = self._all_closed, None
            all_closed.callback(None)

    def close_connections(self):
        """Close every connection after its buffered bytes are sent.

        Connections still open after ``FLUSH_TIMEOUT_S`` are aborted.

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires when no connection is left.
        """
        if not self.channels:
            return succeed(None)
        self._all_closed = Deferred()
        abort_timer = self.reactor.callLater(FLUSH_TIMEOUT_S, self._abort_all)
        closed = self._all_closed.addCallback(
            lambda _: abort_timer.active() and abort_timer.cancel()
        )
        for channel in list(self.channels):
            channel.loseConnection()
        return closed

    def _abort_all(self):
        for channel in list(self.channels):
            channel.transport.abortConnection()

    def log(self, request):
        """Disable the access log; requests are counted in metrics instead."""
