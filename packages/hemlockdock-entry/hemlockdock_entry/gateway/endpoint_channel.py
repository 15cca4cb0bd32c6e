"""Carry requests to one endpoint over one kept connection, one at a time."""

import logging
import re
import socket

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.http import MalformedResponseError, ResponseReader
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

# Several times the way to another failure domain and back.
CONNECT_TIMEOUT_S = 0.4
# Sent bytes that stay unacknowledged for longer are on a connection that is dead.
UNACKNOWLEDGED_MS = 1_500
PROBE_AFTER_S = 2
PROBE_EVERY_S = 1
PROBES = 2
# Idle connections of an endpoint that doesn't say how long it keeps them are used for this long.
KEPT_S = 4.0
# An endpoint may close at the very end of the time that it told.
KEPT_MARGIN_S = 0.8
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
KEEP_ALIVE = b"keep-alive"
# A longer request may still be on its way when an early answer is whole.
LONG_REQUEST_BYTES = 32_768
BODYLESS_ERROR = 400


class EndpointChannel(Protocol):
    """Carry requests over one connection.

    Parameters
    ----------
    pool : ChannelPool
    first_try : EndpointTry
        Waits for the connection.
    request_id_name : bytes
        Header by which an endpoint says which request it answers.
    """

    def __init__(self, pool, first_try, request_id_name):
        self._pool = pool
        self._try = first_try
        self._request_id_name = request_id_name
        self._reader = ResponseReader(self)
        self._skipping = False
        self._tainted = False
        self.idle_since_s = 0.0
        self.kept_s = KEPT_S

    def connectionMade(self):
        """Set the connection up and send what waits for it."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
        if self._try is None:
            self._pool.released(self)
            return
        self._send()

    def use(self, endpoint_try):
        """Send a request; only on an idle connection.

        Parameters
        ----------
        endpoint_try : EndpointTry
        """
        self._try = endpoint_try
        self._send()

    def cancel(self):
        """Give the request up; the endpoint stops it when the connection ends."""
        self._try = None
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data):
        """Parse what came."""
        if self._try is None and self._reader.idle:
            COUNTERS.increment("gateway_unasked_bytes")
            self.transport.abortConnection()
            return
        try:
            self._reader.feed(data)
        except MalformedResponseError as error:
            COUNTERS.increment("gateway_malformed_answers")
            self._fail(f"malformed answer: {error}")

    def connectionLost(self, reason):
        """End what runs on the connection."""
        self._pool.lost(self)
        cleanly = reason.check(ConnectionDone) is not None
        if self._reader.closed(cleanly) or self._try is None:
            return
        endpoint_try, self._try = self._try, None
        endpoint_try.lost(reason.getErrorMessage())

    # What follows is called by the reader.

    def response_began(self, head):
        """Take a response's head; it may belong to an earlier request."""
        if self._try is None:
            self._skipping = True
            self._tainted = True
            return
        found_id = head.value(self._request_id_name)
        wanted_id = self._try.request_id
        if found_id == wanted_id or (not found_id and head.status >= BODYLESS_ERROR):
            self._read_kept_time(head)
            self._try.began(head)
            return
        COUNTERS.increment("gateway_foreign_answers")
        self._skipping = True
        self._tainted = True

    def response_body(self, data):
        """Take a part of a response's body."""
        if not self._skipping and self._try is not None:
            self._try.received(data)

    def response_ended(self, reusable):
        """Take a response's end."""
        if self._skipping:
            self._skipping = False
            if self._try is None:
                self.transport.abortConnection()
            return
        endpoint_try, self._try = self._try, None
        if endpoint_try is None:
            return
        long = len(endpoint_try.data) > LONG_REQUEST_BYTES
        if reusable and not self._tainted and not long:
            self._pool.released(self)
        else:
            self.transport.loseConnection()
        endpoint_try.ended()

    def _send(self):
        self.transport.write(self._try.data)
        self._try.sent()

    def _read_kept_time(self, head):
        told = KEEP_ALIVE_TIMEOUT.search(head.value(KEEP_ALIVE))
        if told is not None:
            self.kept_s = int(told.group(1)) - KEPT_MARGIN_S

    def _fail(self, problem):
        endpoint_try, self._try = self._try, None
        self.transport.abortConnection()
        if endpoint_try is not None:
            endpoint_try.lost(problem)


class ChannelPool(ClientFactory):
    """Keep the connections to one endpoint.

    Parameters
    ----------
    reactor : twisted reactor
    address : str
        ``ip:port``.
    request_id_name : bytes
    """

    noisy = False

    def __init__(self, reactor, address, request_id_name):
        self._reactor = reactor
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
        EndpointChannel or _Connecting
            With ``cancel()``.
        """
        now_s = self._reactor.seconds()
        while self._idle:
            channel = self._idle.pop()
            if now_s - channel.idle_since_s < channel.kept_s:
                channel.use(endpoint_try)
                return channel
            channel.transport.loseConnection()
        COUNTERS.increment("gateway_connections_opened")
        connecting = _Connecting(self, endpoint_try)
        connecting.connector = self._reactor.connectTCP(
            self._address.host, self._address.port, connecting, timeout=CONNECT_TIMEOUT_S
        )
        return connecting

    def close_old(self):
        """Close connections that were idle for too long."""
        now_s = self._reactor.seconds()
        kept = []
        for channel in self._idle:
            if now_s - channel.idle_since_s < channel.kept_s:
                kept.append(channel)
            else:
                channel.transport.loseConnection()
        self._idle = kept

    def close(self):
        """Close idle connections, and others once they are released."""
        self._closed = True
        for channel in self._idle:
            channel.transport.loseConnection()
        self._idle = []

    def new_channel(self, endpoint_try):
        """Return a protocol for a connection that is being made.

        Parameters
        ----------
        endpoint_try : EndpointTry or None

        Returns
        -------
        EndpointChannel
        """
        return EndpointChannel(self, endpoint_try, self._request_id_name)

    def released(self, channel):
        """Keep a connection for the next request.

        Parameters
        ----------
        channel : EndpointChannel
        """
        if self._closed:
            channel.transport.loseConnection()
            return
        channel.idle_since_s = self._reactor.seconds()
        self._idle.append(channel)

    def lost(self, channel):
        """Forget a connection.

        Parameters
        ----------
        channel : EndpointChannel
        """
        if channel in self._idle:
            self._idle.remove(channel)


class _Connecting(ClientFactory):
    """Make one connection for one request."""

    noisy = False

    def __init__(self, pool, endpoint_try):
        self._pool = pool
        self._try = endpoint_try
        self._channel = None
        self.connector = None

    def buildProtocol(self, addr):
        """Return the connection's protocol."""
        self._channel = self._pool.new_channel(self._try)
        return self._channel

    def clientConnectionFailed(self, connector, reason):
        """Tell the request that nothing was sent."""
        endpoint_try, self._try = self._try, None
        if endpoint_try is not None:
            endpoint_try.lost(reason.getErrorMessage())

    def cancel(self):
        """Give the request up."""
        self._try = None
        if self._channel is not None:
            self._channel.cancel()
        else:
            self.connector.disconnect()
