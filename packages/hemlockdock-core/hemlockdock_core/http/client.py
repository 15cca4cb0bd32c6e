"""Send small HTTP/1.1 calls over kept connections, one at a time to each address."""

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
MOST_BODY_BYTES = 16 * 1024 * 1024
STATUS_OK = 200


class CallFailedError(Exception):
    """Raise where a call brought no whole answer.

    Parameters
    ----------
    reason : str
    sent : bool
        Whether any of it may have reached the peer.
    """

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold the answer to a call.

    Attributes
    ----------
    head : ResponseHead
    body : bytes
    """

    head: object
    body: bytes


@dataclass(slots=True)
class _Call:
    data: bytes
    answered: Deferred
    sent: bool = False
    timer: object = None


class HttpClient:
    """Send calls to addresses; the calls to one address follow each other on one connection.

    Parameters
    ----------
    reactor : twisted reactor
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._lane_by_address = {}

    def call(self, method, address, path, headers=(), body=b"", timeout_s=1.0):
        """Send a call.

        Parameters
        ----------
        method : str
        address : str
            ``ip:port``.
        path : str
        headers : iterable of (str, str), optional
        body : bytes, optional
        timeout_s : float, optional
            Time for the whole call, waiting for earlier ones included.

        Returns
        -------
        Deferred of HttpAnswer
            Fails with CallFailedError.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        lane = self._lane_by_address.get(address)
        if lane is None:
            lane = _Lane(self._reactor, address)
            self._lane_by_address[address] = lane
        return lane.add(data, timeout_s)

    def read(self, address, path, timeout_s):
        """Ask for what is at a path.

        Parameters
        ----------
        address : str
            ``ip:port``.
        path : str
        timeout_s : float

        Returns
        -------
        Deferred of bytes
            Fails with CallFailedError, and with ValueError where the status isn't 200.
        """
        return self.call("GET", address, path, timeout_s=timeout_s).addCallback(_body)

    def forget(self, address):
        """Close the connection to an address.

        Parameters
        ----------
        address : str
        """
        lane = self._lane_by_address.pop(address, None)
        if lane is not None:
            lane.close()

    def close(self):
        """Close all connections; calls under way fail."""
        for address in list(self._lane_by_address):
            self.forget(address)


def _body(answer):
    if answer.head.status != STATUS_OK:
        raise ValueError(f"status {answer.head.status}")
    return answer.body


class _Lane(ClientFactory):
    noisy = False

    def __init__(self, reactor, address):
        self._reactor = reactor
        self._address = SocketAddress.parse(address)
        self._waiting = deque()
        self._current = None
        self._connection = None
        self._connector = None

    def add(self, data, timeout_s):
        call = _Call(data, Deferred(lambda _: None))
        call.timer = self._reactor.callLater(timeout_s, self._timed_out, call)
        self._waiting.append(call)
        self._next()
        return call.answered

    def close(self):
        if self._connector is not None:
            self._connector.disconnect()
        for call in [self._current, *self._waiting]:
            if call is not None:
                self._fail(call, "the client was closed")
        self._waiting.clear()
        self._current = None

    def buildProtocol(self, addr):
        return _Connection(self)

    def clientConnectionFailed(self, connector, reason):
        self._connector = None
        self._end_current(reason.getErrorMessage())

    def connected(self, connection):
        self._connection = connection
        if self._current is None:
            self._next()
            return
        self._send()

    def answered(self, answer, reusable):
        call, self._current = self._current, None
        if not reusable:
            self._drop_connection()
        if call is not None:
            call.timer.cancel()
            call.answered.callback(answer)
        self._next()

    def lost(self, connection, reason):
        if connection is not self._connection:
            return
        self._connection = None
        self._connector = None
        self._end_current(reason)

    def _next(self):
        if self._current is not None or not self._waiting:
            return
        self._current = self._waiting.popleft()
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

    def _end_current(self, reason):
        call, self._current = self._current, None
        if call is not None:
            call.timer.cancel()
            self._fail(call, reason)
        self._next()

    def _timed_out(self, call):
        if call is self._current:
            self._current = None
            self._drop_connection()
            call.answered.errback(CallFailedError("no answer in time", call.sent))
            self._next()
            return
        self._waiting.remove(call)
        call.answered.errback(CallFailedError("no answer in time", False))

    def _drop_connection(self):
        connector, self._connector = self._connector, None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.abortConnection()
        elif connector is not None:
            connector.disconnect()

    def _fail(self, call, reason):
        if call.timer.active():
            call.timer.cancel()
        call.answered.errback(CallFailedError(reason, call.sent))


class _Connection(Protocol):
    def __init__(self, lane):
        self._lane = lane
        self._reader = ResponseReader(self)
        self._head = None
        self._parts = []
        self._size = 0

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._lane.connected(self)

    def dataReceived(self, data):
        try:
            self._reader.feed(data)
        except MalformedResponseError as error:
            logger.info("malformed answer", extra={"problem": str(error)})
            self.transport.abortConnection()

    def response_began(self, head):
        self._head = head
        self._parts = []
        self._size = 0

    def response_body(self, data):
        self._size += len(data)
        if self._size > MOST_BODY_BYTES:
            self.transport.abortConnection()
            return
        self._parts.append(data)

    def response_ended(self, reusable):
        answer = HttpAnswer(self._head, b"".join(self._parts))
        self._head = None
        self._parts = []
        self._lane.answered(answer, reusable)

    def connectionLost(self, reason):
        self._reader.closed(reason.check(ConnectionDone) is not None)
        self._lane.lost(self, reason.getErrorMessage())
