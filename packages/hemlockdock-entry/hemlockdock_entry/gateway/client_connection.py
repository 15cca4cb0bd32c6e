"""Parse pipelined HTTP/1.1 requests of one client connection, and write responses in order."""

import contextlib
import logging
from collections import deque

from twisted.internet.protocol import Protocol

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.client_output import ClientOutput
from hemlockdock_entry.gateway.messages import refusal_response
from hemlockdock_entry.gateway.request_reader import RequestReader

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# The client may still be sending the body of a request that is refused; if the connection is closed
# at once, the reset overtakes the refusal.
LINGER_S = 0.5
# Complete requests that may be queued behind the one in progress.
MAX_PIPELINED_REQUESTS = 16


class ClientConnection(Protocol):
    """Parse the requests of one client connection, and write their responses in order.

    Parameters
    ----------
    gateway : Gateway
        Provides ``limits``, ``clock``, ``draining``, ``create_exchange(connection, request)``.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._reader = RequestReader(gateway, self._queue_request, self._write_interim)
        # Memory of the complete requests that are queued or being answered.
        self._requests_bytes = 0
        self._current = None
        self._pending_requests = deque()
        self._exchange = None
        self._header_timer = None
        self._closing = False
        self._is_aborted = False
        self._output = ClientOutput(gateway.clock, self._hold_response, self._on_drained)
        self.idle_since_s = gateway.clock.seconds()
        self.is_lost = False

    @property
    def is_idle(self):
        """Return whether no request is being received, queued or answered, and all was sent."""
        if self._exchange is not None or self._pending_requests:
            return False
        return not self._reader.in_message and self._output.is_drained

    @property
    def has_unsent(self):
        """Return whether part of a response is held until the client reads on."""
        return not self._output.is_drained

    def connectionMade(self):
        """Register the connection with the gateway."""
        self.transport.setTcpNoDelay(True)
        self._output.attach(self.transport)
        refusal = self._gateway.client_limits.admit(self)
        if refusal is not None:
            self._refuse_and_close(refusal)

    def connectionLost(self, reason):
        """Abort the exchange in progress."""
        self.is_lost = True
        self._cancel_header_timer()
        self._release()
        self._gateway.clients.remove(self)
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.on_client_disconnected()

    def dataReceived(self, data):
        """Parse received bytes."""
        if self._closing:
            return
        refusal = self._reader.feed(data) or self._hold_requests()
        if refusal is not None:
            self._refuse_and_close(refusal)
            return
        self._update_header_timer()
        self._start_next_request()

    # Called by ProxyExchange and Gateway.

    def write(self, data):
        """Write part of the response, or drop a client that does not read.

        Parameters
        ----------
        data : bytes
        """
        if not self._output.write(data):
            self._gateway.clock.callLater(0, self.drop_slow_client)

    def response_finished(self, keep_alive):
        """Start the next request, or close the connection, after a complete response.

        Parameters
        ----------
        keep_alive : bool
        """
        self._exchange = None
        self._free_current()
        self._hold_requests()
        self.idle_since_s = self._gateway.clock.seconds()
        if not keep_alive or self._gateway.draining:
            # Close even if the response announced keep-alive: a further request would be cut off.
            self._closing = True
            self._output.close()
            return
        self._start_next_request()

    @property
    def may_drop_body(self):
        """Return whether the connection receives a body while no response is in progress."""
        return self._exchange is None and self._reader.is_receiving_body and not self._closing

    def drop_body(self, refusal):
        """Refuse the request whose body is incomplete, and close the connection.

        Parameters
        ----------
        refusal : Refusal
        """
        self._refuse_and_close(refusal)

    def abort_response(self):
        """Abort the connection, so that the client sees an incomplete response."""
        self._exchange = None
        self._abort()

    def close_idle(self):
        """Close the connection, which must be idle."""
        self._closing = True
        self._output.close()

    def abort_idle(self):
        """Abort the connection, which must be idle, to make room for another one."""
        self._abort()

    def reads_too_slowly(self, now_s, limit_s):
        """Return whether the client has read nothing of what is held for it for too long.

        Parameters
        ----------
        now_s, limit_s : float

        Returns
        -------
        bool
        """
        is_waiting = self._closing or not self._output.is_drained
        return is_waiting and now_s - self._output.progress_s > limit_s

    def drop_slow_client(self):
        """Abort the connection of a client that does not read."""
        if self.is_lost or self._is_aborted:
            return
        self._abort()
        COUNTERS.increment("gateway_slow_clients_dropped")
        logger.info("client does not read, connection aborted")

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

    def _start_next_request(self):
        if self._exchange is not None or not self._pending_requests or self._closing:
            return
        # A client that does not read its responses gets no further ones.
        if not self._output.is_drained:
            return
        request = self._pending_requests.popleft()
        self._current = request
        self._exchange = self._gateway.create_exchange(self, request)
        self._exchange.start()

    def _queue_request(self, request):
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            return Refusal.of(ErrorKind.RATE_LIMITED, "too many requests sent ahead")
        self._pending_requests.append(request)
        self._requests_bytes += request.held_bytes
        return None

    def _write_interim(self, data):
        self.transport.write(data)

    def _hold_requests(self):
        held_bytes = self._requests_bytes + self._reader.held_bytes
        return self._gateway.client_limits.hold_requests(self, held_bytes)

    def _free_current(self):
        if self._current is None:
            return
        request, self._current = self._current, None
        self._requests_bytes -= request.held_bytes
        # Otherwise the body waits for the garbage collector with its exchange.
        with contextlib.suppress(BufferError):
            # Raised if the rest of it is still being sent to an endpoint.
            request.body.clear()

    def _release_requests(self):
        self._reader.discard()
        self._pending_requests.clear()
        self._requests_bytes = 0
        # Its exchange may still run until the connection is lost.
        self._current = None
        self._gateway.client_limits.hold_requests(self, 0)

    def _hold_response(self, held_bytes):
        self._gateway.client_limits.hold_response(self, held_bytes)

    def _on_drained(self):
        self.idle_since_s = self._gateway.clock.seconds()
        self._start_next_request()

    def _release(self):
        self._release_requests()
        self._output.discard()
        self._hold_response(0)

    def _abort(self):
        self._closing = True
        self._is_aborted = True
        self._release()
        self.transport.abortConnection()

    def _update_header_timer(self):
        if not self._reader.in_message:
            self._cancel_header_timer()
            return
        if self._header_timer is None:
            limit_s = self._gateway.limits.header_timeout_ms / MS_PER_S
            self._header_timer = self._gateway.clock.callLater(limit_s, self._on_header_timeout)

    def _on_header_timeout(self):
        self._header_timer = None
        if not self._reader.in_message:
            return
        if not self._reader.head_complete:
            COUNTERS.increment("gateway_slow_clients")
            self._refuse_and_close(
                Refusal.of(ErrorKind.HEADER_TIMEOUT, "the header did not come in time")
            )
            return
        stalled_s = self._gateway.clock.seconds() - self._reader.progress_s
        limit_s = self._gateway.client_limits.body_stall_s
        if self._exchange is None and stalled_s >= limit_s:
            COUNTERS.increment("gateway_bodies_stalled")
            message = f"no byte of the request body arrived for {limit_s:g} s"
            self._refuse_and_close(Refusal.of(ErrorKind.HEADER_TIMEOUT, message))
            return
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
        is_receiving_body = self._reader.is_receiving_body
        self._release_requests()
        if self._exchange is not None:
            # A response is in progress, so no error response may be written into it.
            exchange, self._exchange = self._exchange, None
            self._abort()
            exchange.on_client_disconnected()
            return
        COUNTERS.increment("gateway_refusals", kind=refusal.kind.value)
        logger.info("request refused", extra={"kind": refusal.kind.value, "why": refusal.message})
        headers = [(b"Connection", b"close")]
        if refusal.retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.2f" % (refusal.retry_after_ms / MS_PER_S)))
        self._output.write(refusal_response(refusal, headers))
        if is_receiving_body:
            self._gateway.clock.callLater(LINGER_S, self._end_lingering)
            return
        self._output.close()

    def _end_lingering(self):
        if not self.is_lost:
            self._output.close()
