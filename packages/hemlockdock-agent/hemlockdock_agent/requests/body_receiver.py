"""Pass an engine's bytes on as they come."""

from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone


class BodyReceiver(Protocol):
    """Receive one response's body.

    Parameters
    ----------
    on_data : callable
        Takes bytes.
    on_end : callable
        Takes whether the body is whole.
    """

    def __init__(self, on_data, on_end):
        self._on_data = on_data
        self._on_end = on_end
        self._closed = False

    def close(self):
        """Break the connection off; nothing is called any more."""
        self._closed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data):
        """Pass bytes on."""
        if not self._closed:
            self._on_data(data)

    def connectionLost(self, reason):
        """Tell that the body ended; only a framed end is a whole one."""
        if not self._closed:
            self._closed = True
            self._on_end(bool(reason.check(ResponseDone)))
