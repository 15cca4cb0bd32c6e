"""HTTP readiness probe for the platform."""

from httptools import HttpParserError, HttpRequestParser
from twisted.internet.protocol import Factory, Protocol

from hemlockdock_entry.gateway.messages import format_head, status_line

READY = 200
NOT_READY = 503
NOT_FOUND = 404
MAX_REQUEST_BYTES = 8_192


class ReadinessProtocol(Protocol):
    """Answer the readiness probes of one connection.

    Parameters
    ----------
    path : bytes
    is_ready : callable
        Returns whether the entry accepts new connections.
    """

    def __init__(self, path, is_ready):
        self._path = path
        self._is_ready = is_ready
        self._parser = HttpRequestParser(self)
        self._target = b""
        self._bytes = 0

    def dataReceived(self, data):
        """Parse received bytes."""
        self._bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.transport.loseConnection()
            return
        if self._bytes > MAX_REQUEST_BYTES:
            self.transport.loseConnection()

    def on_message_begin(self):
        """Reset the state for a new probe."""
        self._target = b""

    def on_url(self, url):
        """Append to the request target."""
        self._target += url

    def on_message_complete(self):
        """Answer the probe."""
        self._bytes = 0
        status = NOT_FOUND
        if self._target.partition(b"?")[0] == self._path:
            status = READY if self._is_ready() else NOT_READY
        self.transport.write(format_head(status_line(status), [(b"Content-Length", b"0")]))
        if not self._parser.should_keep_alive():
            self.transport.loseConnection()


class ReadinessFactory(Factory):
    """Create the protocols of readiness connections.

    Parameters
    ----------
    path : bytes
    is_ready : callable
    """

    noisy = False

    def __init__(self, path, is_ready):
        self._path = path
        self._is_ready = is_ready

    def buildProtocol(self, addr):
        """Create the protocol of a connection."""
        return ReadinessProtocol(self._path, self._is_ready)
