"""An HTTP/1.1 client with persistent connections that carry one request at a time.

There is one connection per address, unless callers name several.
"""

import logging
from collections import deque
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.http.response_reader import MalformedResponseError, ResponseReader

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 16 * 1024 * 1024
STATUS_OK = 200


class CallFailedError(Exception):
    """A request that received no complete response.

    Parameters
    ----------
    reason : str
    sent : bool
        Whether part of the request may have reached the peer.
    """

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The response to a request.

    Attributes
    ----------
    head : ResponseHead
    body : bytes
    """

    head: object
    body: bytes


@dataclass(slots=True)
class _PendingRequest:
    data: bytes
    deferred: Deferred
    sent: bool = False
    timer: object = None


class HttpClient:
    """An HTTP client that sends the requests of each connection in order.

    Parameters
    ----------
    reactor : twisted reactor
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._queue_by_connection = {}

    def call(
        self, method, address, path, headers=(), body=b"", timeout_s=1.0, connection="default"
    ):
        """Send a request.

        Parameters
        ----------
        method : str
        address : str
            ``ip:port``.
        path : str
        headers : iterable of (str, str), optional
        body : bytes, optional
        timeout_s : float, optional
            Time limit for the request, including the wait for earlier requests.
        connection : str, optional
            Name of the connection to the address. Requests wait only for earlier ones on the same
            connection.

        Returns
        -------
        Deferred of HttpResponse
            Fails with CallFailedError.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        key = (address, connection)
        request_queue = self._queue_by_connection.get(key)
        if request_queue is None:
            request_queue = _RequestQueue(self._reactor, address)
            self._queue_by_connection[key] = request_queue
        return request_queue.add(data, timeout_s)

    def read(self, address, path, timeout_s, connection="default"):
        """Send a GET request and return the response body.

        Parameters
        ----------
        address : str
            ``ip:port``.
        path : str
        timeout_s : float
        connection : str, optional

        Returns
        -------
        Deferred of bytes
            Fails with CallFailedError, or with ValueError if the status is not 200.
        """
        response = self.call("GET", address, path, timeout_s=timeout_s, connection=connection)
        return response.addCallback(_body_if_ok)

    def close(self):
        """Close all connections and fail pending requests."""
        queues = list(self._queue_by_connection.values())
        self._queue_by_connection = {}
        for request_queue in queues:
            request_queue.close()


def _body_if_ok(response):
    if response.head.status != STATUS_OK:
        raise ValueError(f"expected HTTP status 200, got {response.head.status}")
    return response.body


class _RequestQueue(ClientFactory):
    noisy = False

    def __init__(self, reactor, address):
        self._reactor = reactor
        self._address = SocketAddress.parse(address)
        self._queue = deque()
        self._current = None
        self._connection = None
        self._connector = None

    def add(self, data, timeout_s):
        request = _PendingRequest(data, Deferred(lambda _: None))
        request.timer = self._reactor.callLater(timeout_s, self._timed_out, request)
        self._queue.append(request)
        self._start_next()
        return request.deferred

    def close(self):
        if self._connector is not None:
            self._connector.disconnect()
        for request in [self._current, *self._queue]:
            if request is not None:
                self._fail(request, "the client was closed")
        self._queue.clear()
        self._current = None

    def buildProtocol(self, addr):
        return _Connection(self)

    def clientConnectionFailed(self, connector, reason):
        self._connector = None
        self._fail_current(reason.getErrorMessage())

    def connection_opened(self, connection):
        self._connection = connection
        if self._current is None:
            self._start_next()
            return
        self._send()

    def response_received(self, response, reusable):
        request, self._current = self._current, None
        if not reusable or request is None:
            self._drop_connection()
        if request is not None:
            request.timer.cancel()
            request.deferred.callback(response)
        self._start_next()

    def connection_closed(self, connection, reason):
        if connection is not self._connection:
            return
        self._connection = None
        self._connector = None
        self._fail_current(reason)

    def _start_next(self):
        if self._current is not None or not self._queue:
            return
        self._current = self._queue.popleft()
        if self._connection is not None:
            self._send()
            return
        if self._connector is None:
            self._connector = self._reactor.connectTCP(
                self._address.host, self._address.port, self, timeout=CONNECT_TIMEOUT_S
            )

    def _send(self):
        self._current.sent = True
        self._connection.transport.write(self._current.data)

    def _fail_current(self, reason):
        request, self._current = self._current, None
        if request is not None:
            request.timer.cancel()
            self._fail(request, reason)
        self._start_next()

    def _timed_out(self, request):
        if request is self._current:
            self._current = None
            self._drop_connection()
            request.deferred.errback(
                CallFailedError("no response before the timeout", request.sent)
            )
            self._start_next()
            return
        self._queue.remove(request)
        request.deferred.errback(CallFailedError("no response before the timeout", False))

    def _drop_connection(self):
        connector, self._connector = self._connector, None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.abortConnection()
        elif connector is not None:
            connector.disconnect()

    def _fail(self, request, reason):
        if request.timer.active():
            request.timer.cancel()
        request.deferred.errback(CallFailedError(reason, request.sent))


class _Connection(Protocol):
    def __init__(self, request_queue):
        self._request_queue = request_queue
        self._reader = ResponseReader(self)
        self._head = None
        self._parts = []
        self._size = 0
        self._response = None
        self._is_reusable = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._request_queue.connection_opened(self)

    def dataReceived(self, data):
        try:
            self._reader.feed(data)
        except MalformedResponseError as error:
            logger.info("malformed response", extra={"problem": str(error)})
            self._is_reusable = False
            self.transport.abortConnection()
        self._deliver()

    def response_started(self, head):
        if self._response is not None:
            # It came together with the response, and answers no later request.
            self._is_reusable = False
            return
        self._head = head
        self._parts = []
        self._size = 0

    def response_body(self, data):
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            self.transport.abortConnection()
            return
        self._parts.append(data)

    def response_ended(self, reusable):
        if self._response is not None:
            return
        self._response = HttpResponse(self._head, b"".join(self._parts))
        self._is_reusable = reusable
        self._head = None
        self._parts = []

    def connectionLost(self, reason):
        self._reader.closed(reason.check(ConnectionDone) is not None)
        self._deliver()
        self._request_queue.connection_closed(self, reason.getErrorMessage())

    def _deliver(self):
        response, self._response = self._response, None
        if response is not None:
            is_reusable = self._is_reusable and self._reader.idle
            self._request_queue.response_received(response, is_reusable)
