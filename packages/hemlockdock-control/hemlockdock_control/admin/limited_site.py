"""Bound what one connection, and all together, may cost."""

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
    """Refuse a body beyond the limit as soon as that is known."""

    _received_bytes = 0
    _refused = False

    def gotLength(self, length):
        """Check the length that the client announced.

        Parameters
        ----------
        length : int or None
        """
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Count what arrives, since a chunked body announces no length.

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
        """Pass the request on, unless it was refused.

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
    """Accept a bounded number of connections.

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
        self._closed = None
        self._reactor = reactor

    def buildProtocol(self, addr):
        """Return a protocol for a connection, or None where there are too many.

        Parameters
        ----------
        addr : IAddress

        Returns
        -------
        IProtocol or None
        """
        mine = self._connections_by_host.get(addr.host, 0)
        all_of_them = sum(self._connections_by_host.values())
        if mine >= MAX_CONNECTIONS_PER_HOST or all_of_them >= MAX_CONNECTIONS:
            COUNTERS.increment("admin_connections_refused")
            return None
        protocol = super().buildProtocol(addr)
        self._connections_by_host[addr.host] = mine + 1
        self._protocols.add(protocol)
        lost = protocol.connectionLost

        def count_down(reason):
            self._count_down(protocol, addr.host)
            lost(reason)

        protocol.connectionLost = count_down
        return protocol

    def close_connections(self):
        """Close what is still open, once what was written to it has gone out.

        Returns
        -------
        Deferred
            Fires once all are closed.
        """
        if not self._protocols:
            return succeed(None)
        self._closed = Deferred()
        for protocol in list(self._protocols):
            protocol.transport.loseConnection()
        cut = self._reactor.callLater(CLOSE_TIMEOUT_S, self._abort)
        self._closed.addCallback(lambda _: cut.cancel() if cut.active() else None)
        return self._closed

    def _abort(self):
        for protocol in list(self._protocols):
            protocol.transport.abortConnection()

    def _count_down(self, protocol, host):
        self._protocols.discard(protocol)
        self._connections_by_host[host] -= 1
        if not self._connections_by_host[host]:
            del self._connections_by_host[host]
        if self._closed is not None and not self._protocols:
            self._closed.callback(None)

    def log(self, request):
        """Write no access log; counters tell what was asked."""
