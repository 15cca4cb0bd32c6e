"""A peer that answers each request with bytes that do not end."""

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

LOOPBACK = "127.0.0.1"
PART_BYTES = 65_536


class EndlessPeer(Factory):
    """Listens on loopback and sends bytes to each caller until it closes the connection.

    Parameters
    ----------
    reactor : twisted reactor
    begin : bytes
        Sent once.
    part : bytes
        Repeated after it.
    most_bytes : int
        Sent to one caller at most.

    Attributes
    ----------
    sent_bytes : int
        Taken by the kernel for all callers.
    """

    noisy = False

    def __init__(self, reactor, begin, part, most_bytes):
        self.begin = begin
        self.block = part * max(1, PART_BYTES // len(part))
        self.most_bytes = most_bytes
        self.sent_bytes = 0
        self._port = reactor.listenTCP(0, self, interface=LOOPBACK)

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"{LOOPBACK}:{self._port.getHost().port}"

    def buildProtocol(self, addr):
        """Return the peer's end of a connection."""
        return _EndlessConnection(self)

    def stop(self):
        """Stop listening.

        Returns
        -------
        Deferred
        """
        return self._port.stopListening()


@implementer(IPullProducer)
class _EndlessConnection(Protocol):
    def __init__(self, peer):
        self._peer = peer
        self._left_bytes = peer.most_bytes
        self._is_asked = False

    def dataReceived(self, data):
        if self._is_asked:
            return
        self._is_asked = True
        self.transport.write(self._peer.begin)
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        if self._left_bytes <= 0:
            self.transport.unregisterProducer()
            return
        self._left_bytes -= len(self._peer.block)
        self._peer.sent_bytes += len(self._peer.block)
        self.transport.write(self._peer.block)

    def stopProducing(self):
        self._left_bytes = 0
