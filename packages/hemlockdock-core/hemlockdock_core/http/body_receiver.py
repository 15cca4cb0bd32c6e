"""Receive the body of a response from twisted's HTTP client."""

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

MAX_BODY_BYTES = 16 * 1024 * 1024


class BodyReceiver(Protocol):
    """Receive the body of one response.

    Parameters
    ----------
    tracker : CloseTracker
        Of the client that received the response.
    on_data : callable
        Takes bytes.
    on_end : callable
        Takes whether the body is complete.
    max_bytes : int, optional
        A longer body is incomplete, and its connection is closed.
    """

    def __init__(self, tracker, on_data, on_end, max_bytes=MAX_BODY_BYTES):
        self._tracker = tracker
        self._on_data = on_data
        self._on_end = on_end
        self._left_bytes = max_bytes
        self._closed = False

    def close(self):
        """Close the connection without calling ``on_end``."""
        self._closed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data):
        """Forward received bytes."""
        if self._closed:
            return
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self.close()
            self._on_end(False)
            return
        self._on_data(data)

    def connectionLost(self, reason):
        """Report the end of the body.

        It is complete if the response marks its end, or if it has neither a length nor chunks and
        the peer closed the connection without a reset.
        """
        if self._closed:
            return
        self._closed = True
        has_unmarked_end = reason.check(PotentialDataLoss) is not None
        is_whole = reason.check(ResponseDone) is not None
        self._on_end(is_whole or (has_unmarked_end and self._tracker.closed_cleanly))


def read_body(response, tracker, max_bytes=MAX_BODY_BYTES):
    """Read the whole body of a response.

    Parameters
    ----------
    response : twisted.web.iweb.IResponse
    tracker : CloseTracker
        Of the client that received the response.
    max_bytes : int, optional
        A longer body is incomplete.

    Returns
    -------
    Deferred of bytes
        Fails with ConnectionLost if the body is incomplete. To cancel it closes the connection.
    """
    parts = []

    def end(is_complete):
        if is_complete:
            body.callback(b"".join(parts))
            return
        body.errback(ConnectionLost("the answer is incomplete"))

    receiver = BodyReceiver(tracker, parts.append, end, max_bytes)
    body = Deferred(lambda _: receiver.close())
    response.deliverBody(receiver)
    return body
