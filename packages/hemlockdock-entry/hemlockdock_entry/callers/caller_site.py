"""Accept callers' connections, each within its limits."""

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
    """Accept callers' connections.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings

    Attributes
    ----------
    body_limit : int
        Largest request body, in bytes.
    request_timeout_s : float
        Time a caller has to send a whole request.
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
        self._on_empty = None
        self._most_connections = settings.entry.connections

    def serve(self, resource):
        """Answer calls by a resource from now on.

        Parameters
        ----------
        resource : twisted.web.resource.IResource
        """
        self.resource = resource

    def buildProtocol(self, address):
        """Return the protocol of a new connection, or None where there are too many."""
        if len(self.channels) >= self._most_connections:
            COUNTERS.increment("entry_connections_refused")
            return None
        return super().buildProtocol(address)

    def opened(self, channel):
        """Take that a connection was made.

        Parameters
        ----------
        channel : CallerChannel
        """
        self.channels.add(channel)

    def closed(self, channel):
        """Take that a connection is gone.

        Parameters
        ----------
        channel : CallerChannel
        """
        self.channels.discard(channel)
        if self._on_empty is not None and not self.channels:
            on_empty, self._on_empty = self._on_empty, None
            on_empty.callback(None)

    def close_connections(self):
        """Close every connection once its bytes are sent.

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires when none is left.
        """
        if not self.channels:
            return succeed(None)
        self._on_empty = Deferred()
        abort_call = self.reactor.callLater(FLUSH_TIMEOUT_S, self._abort_all)
        closed = self._on_empty.addCallback(lambda _: abort_call.active() and abort_call.cancel())
        for channel in list(self.channels):
            channel.loseConnection()
        return closed

    def _abort_all(self):
        for channel in list(self.channels):
            channel.transport.abortConnection()

    def log(self, request):
        """Write no line for each call; counters stand for them."""
