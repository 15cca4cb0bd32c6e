"""Send requests to an endpoint over one connection, one at a time."""

import re
import socket

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from hemlockdock_core.http import MalformedResponseError, ResponseReader
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.body_sender import BodySender

# A connection whose sent data stays unacknowledged for longer is considered dead.
TCP_USER_TIMEOUT_MS = 1_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Idle timeout for endpoints that send no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_S = 4.0
# An endpoint may close the connection exactly when its announced timeout expires.
KEEP_ALIVE_MARGIN_S = 0.8
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
KEEP_ALIVE = b"keep-alive"
# A longer body is sent in pieces, and may still be in transit when an early response is complete.
LONG_BODY_BYTES = 16_384
FIRST_ERROR_STATUS = 400
# A response to another request that is longer than this keeps its connection busy for nothing.
MAX_DISCARDED_BYTES = 1024 * 1024


class EndpointConnection(Protocol):
    """Send requests over one connection, one at a time.

    Parameters
    ----------
    pool : ConnectionPool
    first_try : EndpointTry
        Sent as soon as the connection is made.
    request_id_name : bytes
        Response header with the id of the request that the endpoint answers.
    """

    def __init__(self, pool, first_try, request_id_name):
        self._pool = pool
        self._try = first_try
        self._request_id_name = request_id_name
        self._reader = ResponseReader(self)
        self._discarding_response = False
        self._discarded_bytes = 0
        self._unsafe_to_reuse = False
        self._requests = 0
        self._complete_try = None
        self._is_reusable = False
        self.idle_since_s = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S

    def connectionMade(self):
        """Set the socket options, and send the first request."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        if self._try is None:
            self._pool.release(self)
            return
        if not self._try.may_send():
            withheld, self._try = self._try, None
            self._pool.release(self)
            withheld.withheld()
            return
        self._send()

    def send_request(self, endpoint_try):
        """Send a request; the connection must be idle.

        Parameters
        ----------
        endpoint_try : EndpointTry
        """
        self._try = endpoint_try
        self._send()

    def cancel(self):
        """Cancel the request by aborting the connection, which stops it at the endpoint."""
        self._try = None
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data):
        """Parse received bytes."""
        if self._try is None and self._reader.idle:
            COUNTERS.increment("gateway_unasked_bytes")
            self.transport.abortConnection()
            return
        try:
            self._reader.feed(data)
        except MalformedResponseError as error:
            COUNTERS.increment("gateway_malformed_answers")
            self._fail(f"malformed response: {error}")
        self._finish_try()

    def connectionLost(self, reason):
        """Complete or fail the request in progress."""
        self._pool.forget(self)
        cleanly = reason.check(ConnectionDone) is not None
        if self._reader.closed(cleanly):
            self._finish_try()
            return
        if self._try is None:
            return
        endpoint_try, self._try = self._try, None
        endpoint_try.connection_lost(reason.getErrorMessage())

    # Callbacks of the response reader.

    def response_started(self, head):
        """Pass on a response head, unless the response belongs to another request."""
        if self._try is None:
            self._discarding_response = True
            self._unsafe_to_reuse = True
            return
        response_id = head.value(self._request_id_name)
        is_error_without_id = not response_id and head.status >= FIRST_ERROR_STATUS
        if response_id == self._try.request_id or is_error_without_id:
            self._read_keep_alive_timeout(head)
            # On a kept connection, it may be a copy of an earlier error.
            is_doubtful = is_error_without_id and self._requests > 1
            self._unsafe_to_reuse = self._unsafe_to_reuse or is_doubtful
            self._try.head_received(head, is_doubtful)
            return
        COUNTERS.increment("gateway_foreign_answers")
        self._discarding_response = True
        self._unsafe_to_reuse = True

    def response_body(self, data):
        """Pass on part of a response body."""
        if not self._discarding_response and self._try is not None:
            self._try.body_received(data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail("a response to another request does not end")

    def response_ended(self, reusable):
        """Complete the request, or go on after a response to another one."""
        if self._discarding_response:
            self._discarding_response = False
            if self._try is None:
                self.transport.abortConnection()
            return
        # Further bytes may have come with the response: they answer no later request.
        self._complete_try, self._try = self._try, None
        self._is_reusable = reusable

    def _finish_try(self):
        endpoint_try, self._complete_try = self._complete_try, None
        if endpoint_try is None:
            return
        is_long = len(endpoint_try.body) > LONG_BODY_BYTES
        is_reusable = self._is_reusable and self._reader.idle and not self._unsafe_to_reuse
        if is_reusable and not is_long:
            self._pool.release(self)
        else:
            self.transport.loseConnection()
        endpoint_try.response_complete()

    def _send(self):
        self._requests += 1
        self._try.used_connections.add(self)
        if len(self._try.body) > LONG_BODY_BYTES:
            self.transport.write(self._try.request_head)
            BodySender(self.transport, self._try.body).start()
        else:
            self.transport.write(self._try.request_head + self._try.body)
        self._try.request_sent()

    def _read_keep_alive_timeout(self, head):
        match = KEEP_ALIVE_TIMEOUT.search(head.value(KEEP_ALIVE))
        if match is not None:
            self.keep_alive_s = int(match.group(1)) - KEEP_ALIVE_MARGIN_S

    def _fail(self, problem):
        endpoint_try, self._try = self._try, None
        self.transport.abortConnection()
        if endpoint_try is not None:
            endpoint_try.connection_lost(problem)
