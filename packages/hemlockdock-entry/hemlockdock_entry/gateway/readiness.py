"""Tell the platform whether an entry takes new connections."""

from httptools import HttpParserError, HttpRequestParser
from twisted.internet.protocol import Factory, Protocol

from hemlockdock_entry.gateway.messages import format_head, status_line

READY = 200
NOT_READY = 503
NOT_FOUND = 404
MAX_REQUEST_BYTES = 8_192


class ReadinessProtocol(Protocol):
    """Answer questions on one connection.

    Parameters
    ----------
    path : bytes
    is_ready : callable
        Takes nothing; returns a bool.
    """

    def __init__(self, path, is_ready):
        self._path = path
        self._is_ready = is_ready
        self._parser = HttpRequestParser(self)
        self._target = b""
        self._bytes = 0

    def dataReceived(self, data):
        """Parse what came."""
        self._bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.transport.loseConnection()
            return
        if self._bytes > MAX_REQUEST_BYTES:
            self.transport.loseConnection()

    def on_message_begin(self):
        """Begin a question."""
        self._target = b""

    def on_url(self, url):
        """Take a part of the target."""
        self._target += url

    def on_message_complete(self):
        """Answer."""
        self._bytes = 0
        status = NOT_FOUND
        if self._target.partition(b"?")[0] == self._path:
            status = READY if self._is_ready() else NOT_READY
        self.transport.write(format_head(status_line(status), [(b"Content-Length", b"0")]))
        if not self._parser.should_keep_alive():
            self.transport.loseConnection()


class ReadinessFactory(Factory):
    """Make the protocol of each connection.

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
        """Return a connection's protocol."""
        return ReadinessProtocol(self._path, self._is_ready)
