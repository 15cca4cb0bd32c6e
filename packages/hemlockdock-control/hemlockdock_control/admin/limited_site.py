"""Limit request bodies and connections of the operators' API."""

from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Request, Site

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 128
MAX_CONNECTIONS_PER_HOST = 32
IDLE_TIMEOUT_S = 30
CLOSE_TIMEOUT_S = 2


class LimitedRequest(Request):
    """Refuse a request body as soon as it is known to exceed the limit."""

    _received_bytes = 0
    _refused = False

    def gotLength(self, length):
        """Check the announced content length.

        Parameters
        ----------
        length : int or None
        """
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Count the bytes received, since a chunked body has no announced length.

        Parameters
        ----------
        data : bytes
        """
        if self._refused:
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_BODY_BYTES:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        """Process the request, unless it was refused.

        Parameters
        ----------
        command, path, version : bytes
        """
        if not self._refused:
            super().requestReceived(command, path, version)

    def _refuse(self):
        self._refused = True
        COUNTERS.increment("admin_bodies_refused")
        refusal = Refusal.of(ErrorKind.TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes")
        head = f"HTTP/1.1 {refusal.status} Too Large\r\nConnection: close\r\n\r\n"
        self.channel.transport.write(head.encode())
        self.channel.loseConnection()


class LimitedSite(Site):
    """Accept a limited number of connections.

    Parameters
    ----------
    resource : IResource
    reactor : twisted reactor
    """

    def __init__(self, resource, reactor):
        super().__init__(
            resource, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S, reactor=reactor
        )
        self.displayTracebacks = False
        self._connections_by_host = {}
        self._protocols = set()
        self._all_closed = None
        self._reactor = reactor

    def buildProtocol(self, addr):
        """Return a protocol for a connection, or None if there are too many.

        Parameters
        ----------
        addr : IAddress

        Returns
        -------
        IProtocol or None
        """
        host_connections = self._connections_by_host.get(addr.host, 0)
        all_connections = sum(self._connections_by_host.values())
        if host_connections >= MAX_CONNECTIONS_PER_HOST or all_connections >= MAX_CONNECTIONS:
            COUNTERS.increment("admin_connections_refused")
            return None
        protocol = super().buildProtocol(addr)
        self._connections_by_host[addr.host] = host_connections + 1
        self._protocols.add(protocol)
        connection_lost = protocol.connectionLost

        def connection_closed(reason):
            self._connection_closed(protocol, addr.host)
            connection_lost(reason)

        protocol.connectionLost = connection_closed
        return protocol

    def close_connections(self):
        """Close the open connections after their pending output is sent.

        Returns
        -------
        Deferred
            Fires once all connections are closed.
        """
        if not self._protocols:
            return succeed(None)
        self._all_closed = Deferred()
        for protocol in list(self._protocols):
            protocol.transport.loseConnection()
        abort_call = self._reactor.callLater(CLOSE_TIMEOUT_S, self._abort)
        self._all_closed.addCallback(lambda _: abort_call.cancel() if abort_call.active() else None)
        return self._all_closed

    def _abort(self):
        for protocol in list(self._protocols):
            protocol.transport.abortConnection()

    def _connection_closed(self, protocol, host):
        self._protocols.discard(protocol)
        self._connections_by_host[host] -= 1
        if not self._connections_by_host[host]:
            del self._connections_by_host[host]
        if self._all_closed is not None and not self._protocols:
            self._all_closed.callback(None)

    def log(self, request):
        """Write no access log; requests are counted in metrics instead."""
