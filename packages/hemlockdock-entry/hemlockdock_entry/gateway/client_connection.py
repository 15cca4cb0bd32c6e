"""Parse pipelined HTTP/1.1 requests of one client connection, and write responses in order."""

import logging
from collections import deque

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.messages import ClientRequest, refusal_response

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EXPECT = b"expect"
CONNECTION = b"connection"
# Complete requests that may be queued behind the one in progress.
MAX_PIPELINED_REQUESTS = 16
# Written while the send buffer was full; a client that lets more wait does not read.
MAX_UNSENT_BYTES = 1024 * 1024


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """Parse the requests of one client connection, and write their responses in order.

    Parameters
    ----------
    gateway : Gateway
        Provides ``limits``, ``clock``, ``draining``, ``create_exchange(connection, request)``.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._parser = HttpRequestParser(self)
        self._headers = []
        self._target = b""
        self._body = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_message = False
        self._head_complete = False
        self._pending_requests = deque()
        self._exchange = None
        self._header_timer = None
        self._refusal = None
        self._closing = False
        self._is_send_buffer_full = False
        self._unsent_bytes = 0
        self.idle_since_s = gateway.clock.seconds()
        self.is_lost = False

    @property
    def is_idle(self):
        """Return whether no request is being received, queued or answered."""
        return self._exchange is None and not self._in_message and not self._pending_requests

    def connectionMade(self):
        """Register the connection with the gateway."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._gateway.clients.add(self)

    def connectionLost(self, reason):
        """Abort the exchange in progress."""
        self.is_lost = True
        self._cancel_header_timer()
        self._pending_requests.clear()
        self._gateway.clients.remove(self)
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.on_client_disconnected()

    def dataReceived(self, data):
        """Parse received bytes."""
        if self._closing:
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._refusal = Refusal.of(ErrorKind.BAD_REQUEST, "no protocol upgrade is offered")
        except HttpParserError as error:
            if self._refusal is None:
                self._refusal = Refusal.of(ErrorKind.BAD_REQUEST, f"malformed request: {error}")
        if not self._head_complete and self._head_bytes > self._gateway.limits.header_bytes:
            self._refusal = Refusal.of(ErrorKind.HEADER_TOO_LARGE, "the header is too large")
        if self._refusal is not None:
            self._refuse_and_close(self._refusal)
            return
        self._update_header_timer()
        self._start_next_request()

    # Callbacks of the HTTP parser.

    def on_message_begin(self):
        """Reset the state for a new request."""
        self._headers = []
        self._target = b""
        self._body = []
        self._body_bytes = 0
        self._in_message = True
        self._head_complete = False

    def on_url(self, url):
        """Append to the request target."""
        self._target += url

    def on_header(self, name, value):
        """Store a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Check the size of the head, and send 100 Continue if the client expects it."""
        self._head_complete = True
        self._head_bytes = 0
        size = len(self._target) + sum(len(name) + len(value) for name, value in self._headers)
        if size > self._gateway.limits.header_bytes:
            self._refusal = Refusal.of(ErrorKind.HEADER_TOO_LARGE, "the header is too large")
            raise ValueError("the header is too large")
        for name, value in self._headers:
            if name.lower() == EXPECT and value.lower() == b"100-continue":
                self.transport.write(CONTINUE)

    def on_body(self, data):
        """Append to the body, up to the size limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._gateway.limits.body_bytes:
            self._refusal = Refusal.of(ErrorKind.TOO_LARGE, "the body is too large")
            raise ValueError("the body is too large")
        self._body.append(data)

    def on_message_complete(self):
        """Queue the complete request."""
        self._in_message = False
        self._head_complete = False
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            self._refusal = Refusal.of(ErrorKind.RATE_LIMITED, "too many requests sent ahead")
            return
        value_by_name = {name.lower(): value for name, value in self._headers}
        self._pending_requests.append(
            ClientRequest(
                self._parser.get_method(),
                self._target,
                self._headers,
                value_by_name,
                b"".join(self._body),
                self._parser.should_keep_alive(),
                self._gateway.clock.seconds(),
                self._parser.get_http_version(),
            )
        )

    # Called by ProxyExchange and Gateway.

    def write(self, data):
        """Write part of the response, or drop a client that does not read.

        Parameters
        ----------
        data : bytes
        """
        if self._is_send_buffer_full:
            self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self._gateway.clock.callLater(0, self._drop_slow_client)
            return
        self.transport.write(data)

    def pauseProducing(self):
        """Count what is written from now on, since the send buffer is full."""
        self._is_send_buffer_full = True

    def resumeProducing(self):
        """Stop counting, since the send buffer has drained."""
        self._is_send_buffer_full = False
        self._unsent_bytes = 0

    def stopProducing(self):
        """Do nothing; ``connectionLost`` handles the end of the connection."""

    def response_finished(self, keep_alive):
        """Start the next request, or close the connection, after a complete response.

        Parameters
        ----------
        keep_alive : bool
        """
        self._exchange = None
        self.idle_since_s = self._gateway.clock.seconds()
        if not keep_alive or self._gateway.draining:
            # Close even if the response announced keep-alive: a further request would be cut off.
            self._closing = True
            self.transport.loseConnection()
            return
        self._start_next_request()

    def abort_response(self):
        """Abort the connection, so that the client sees an incomplete response."""
        self._exchange = None
        self._closing = True
        self.transport.abortConnection()

    def close_idle(self):
        """Close the connection, which must be idle."""
        self._closing = True
        self.transport.loseConnection()

    def keeps_alive(self, request):
        """Return whether the connection stays open after a request's response.

        Parameters
        ----------
        request : ClientRequest

        Returns
        -------
        bool
        """
        return request.keep_alive and not self._gateway.draining

    def _drop_slow_client(self):
        if self.is_lost or self._closing:
            return
        self._closing = True
        COUNTERS.increment("gateway_slow_clients_dropped")
        logger.info("client does not read, connection aborted")
        self.transport.abortConnection()

    def _start_next_request(self):
        if self._exchange is not None or not self._pending_requests or self._closing:
            return
        request = self._pending_requests.popleft()
        self._exchange = self._gateway.create_exchange(self, request)
        self._exchange.start()

    def _update_header_timer(self):
        if not self._in_message:
            self._cancel_header_timer()
            return
        if self._header_timer is None:
            limit_s = self._gateway.limits.header_timeout_ms / MS_PER_S
            self._header_timer = self._gateway.clock.callLater(limit_s, self._on_header_timeout)

    def _on_header_timeout(self):
        self._header_timer = None
        if self._in_message and not self._head_complete:
            COUNTERS.increment("gateway_slow_clients")
            self._refuse_and_close(
                Refusal.of(ErrorKind.HEADER_TIMEOUT, "the header did not come in time")
            )
            return
        if self._in_message:
            self._update_header_timer()

    def _cancel_header_timer(self):
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse_and_close(self, refusal):
        if self._closing:
            return
        self._closing = True
        self._cancel_header_timer()
        if self._exchange is not None:
            # A response is in progress, so no error response may be written into it.
            exchange, self._exchange = self._exchange, None
            self.transport.abortConnection()
            exchange.on_client_disconnected()
            return
        COUNTERS.increment("gateway_refusals", kind=refusal.kind.value)
        logger.info("request refused", extra={"kind": refusal.kind.value, "why": refusal.message})
        self.transport.write(refusal_response(refusal, [(b"Connection", b"close")]))
        self.transport.loseConnection()
