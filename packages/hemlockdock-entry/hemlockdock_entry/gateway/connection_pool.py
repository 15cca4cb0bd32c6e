"""Pool persistent connections to an endpoint."""

from enum import Enum

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.endpoint_connection import EndpointConnection

# Several round trips to another failure domain.
CONNECT_TIMEOUT_S = 0.4


class ProbeResult(Enum):
    """Whether an endpoint listens.

    Attributes
    ----------
    ACCEPTED
    REFUSED
        Nothing listens at its address.
    UNREACHABLE
        There was no answer in time.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class ConnectionPool(ClientFactory):
    """Pool the connections to one endpoint.

    Parameters
    ----------
    reactor : twisted reactor
    address : str
        ``ip:port``.
    request_id_name : bytes
    on_idle_lost : callable
        Takes the address; called after an idle connection was lost.
    """

    noisy = False

    def __init__(self, reactor, address, request_id_name, on_idle_lost):
        self._reactor = reactor
        self._on_idle_lost = on_idle_lost
        self._address_text = address
        self._address = SocketAddress.parse(address)
        self._request_id_name = request_id_name
        self._idle = []
        self._closed = False

    def send(self, endpoint_try):
        """Send a request over an idle connection, or over a new one.

        Parameters
        ----------
        endpoint_try : EndpointTry

        Returns
        -------
        EndpointConnection or _PendingConnection
            Provides ``cancel()``.
        """
        self.close_expired()
        # A copy of its former response would pass for the response to a request that is repeated.
        unused = [item for item in self._idle if item not in endpoint_try.used_connections]
        if unused:
            connection = unused[-1]
            self._idle.remove(connection)
            connection.send_request(endpoint_try)
            return connection
        pending = _PendingConnection(self, endpoint_try)
        pending.connector = self._connect(pending)
        return pending

    def probe(self, on_result):
        """Find out whether the endpoint listens; a connection that it accepts is kept.

        Parameters
        ----------
        on_result : callable
            Takes a ProbeResult.
        """
        self._connect(_ProbeConnection(self._reactor, self, on_result))

    def close_expired(self):
        """Close idle connections whose keep-alive time has expired."""
        now_s = self._reactor.seconds()
        unexpired = []
        for connection in self._idle:
            if now_s - connection.idle_since_s < connection.keep_alive_s:
                unexpired.append(connection)
            else:
                connection.transport.loseConnection()
        self._idle = unexpired

    def close(self):
        """Close idle connections now, and busy ones when they are released."""
        self._closed = True
        for connection in self._idle:
            connection.transport.loseConnection()
        self._idle = []

    def create_connection(self, endpoint_try):
        """Create the protocol of a new connection.

        Parameters
        ----------
        endpoint_try : EndpointTry or None

        Returns
        -------
        EndpointConnection
        """
        return EndpointConnection(self, endpoint_try, self._request_id_name)

    def release(self, connection):
        """Return a connection to the pool, or close it if the pool is closed.

        Parameters
        ----------
        connection : EndpointConnection
        """
        if self._closed:
            connection.transport.loseConnection()
            return
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)

    def forget(self, connection):
        """Remove a closed connection from the pool.

        Parameters
        ----------
        connection : EndpointConnection
        """
        if connection in self._idle:
            self._idle.remove(connection)
            self._on_idle_lost(self._address_text)

    def _connect(self, factory):
        COUNTERS.increment("gateway_connections_opened")
        return self._reactor.connectTCP(
            self._address.host, self._address.port, factory, timeout=CONNECT_TIMEOUT_S
        )


class _PendingConnection(ClientFactory):
    """Open one connection for one request."""

    noisy = False

    def __init__(self, pool, endpoint_try):
        self._pool = pool
        self._try = endpoint_try
        self._connection = None
        self.connector = None

    def buildProtocol(self, addr):
        """Create the protocol of the connection."""
        self._connection = self._pool.create_connection(self._try)
        return self._connection

    def clientConnectionFailed(self, connector, reason):
        """Fail the request, which was not sent."""
        endpoint_try, self._try = self._try, None
        if endpoint_try is not None:
            endpoint_try.connection_lost(reason.getErrorMessage())

    def cancel(self):
        """Cancel the request and the connection attempt."""
        self._try = None
        if self._connection is not None:
            self._connection.cancel()
        else:
            self.connector.disconnect()


class _ProbeConnection(ClientFactory):
    """Open one connection without a request."""

    noisy = False

    def __init__(self, reactor, pool, on_result):
        self._reactor = reactor
        self._pool = pool
        self._on_result = on_result

    def buildProtocol(self, addr):
        """Create the protocol of the connection."""
        # Once the connection is in the pool, requests that waited for the result can use it.
        self._reactor.callLater(0, self._on_result, ProbeResult.ACCEPTED)
        return self._pool.create_connection(None)

    def clientConnectionFailed(self, connector, reason):
        """Tell a refused connection from one without an answer."""
        is_refused = reason.check(ConnectionRefusedError) is not None
        self._on_result(ProbeResult.REFUSED if is_refused else ProbeResult.UNREACHABLE)
