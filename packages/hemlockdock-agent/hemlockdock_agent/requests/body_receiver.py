"""Stream the response bodies of the engine."""

from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone


class BodyReceiver(Protocol):
    """Receive the body of one response.

    Parameters
    ----------
    on_data : callable
        Takes bytes.
    on_end : callable
        Takes whether the body is complete.
    """

    def __init__(self, on_data, on_end):
        self._on_data = on_data
        self._on_end = on_end
        self._closed = False

    def close(self):
        """Close the connection without calling ``on_end``."""
        self._closed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data):
        """Forward received bytes."""
        if not self._closed:
            self._on_data(data)

    def connectionLost(self, reason):
        """Report the end of the body; it is complete only if HTTP framing marks its end."""
        if not self._closed:
            self._closed = True
            self._on_end(bool(reason.check(ResponseDone)))
