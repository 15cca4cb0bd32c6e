"""Stream a request body to an endpoint in pieces, without copying it whole."""

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

PIECE_BYTES = 65_536
NOTHING = memoryview(b"")


@implementer(IPullProducer)
class BodySender:
    """Write a body piece by piece, as the endpoint reads.

    A transport that is told to close does so after the last piece.

    Parameters
    ----------
    transport : ITransport
    body : bytes or bytearray
    """

    def __init__(self, transport, body):
        self._transport = transport
        self._rest = memoryview(body)

    def start(self):
        """Write the first piece."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self):
        """Write the next piece."""
        piece, self._rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
        self._transport.write(bytes(piece))
        if not self._rest:
            self._rest = NOTHING
            self._transport.unregisterProducer()

    def stopProducing(self):
        """Release the body, since the connection is lost."""
        self._rest = NOTHING
