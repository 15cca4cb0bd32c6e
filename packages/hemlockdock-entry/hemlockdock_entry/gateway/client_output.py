"""Write to one client connection as fast as the client reads."""

from collections import deque

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

# A long response is handed to the transport in pieces, since what the transport holds is copied
# with each further write.
PIECE_BYTES = 16_384
# The transport pauses its producer once it holds more than this.
TRANSPORT_BYTES = 65_536
# Written while the send buffer was full; a client that lets more wait does not read.
MAX_UNSENT_BYTES = 1024 * 1024


@implementer(IPushProducer)
class ClientOutput:
    """Hold back what the transport of a client connection does not take yet.

    Parameters
    ----------
    clock : twisted reactor
    on_change : callable
        Takes the bytes that are held for the client.
    on_drained : callable
        Called once everything was sent.

    Attributes
    ----------
    progress_s : float
        Time since which nothing more was sent, while bytes are held.
    """

    def __init__(self, clock, on_change, on_drained):
        self._clock = clock
        self._on_change = on_change
        self._on_drained = on_drained
        self._transport = None
        self._waiting = deque()
        self._waiting_bytes = 0
        self._is_full = False
        self._unsent_bytes = 0
        self._closes = False
        self.progress_s = 0.0

    @property
    def is_drained(self):
        """Return whether the transport takes more at once."""
        return not self._is_full and not self._waiting

    def attach(self, transport):
        """Write to a transport from now on.

        Parameters
        ----------
        transport : ITransport
        """
        self._transport = transport
        transport.registerProducer(self, True)

    def write(self, data):
        """Write data, or hold it back.

        Parameters
        ----------
        data : bytes or bytearray

        Returns
        -------
        bool
            Whether the client reads enough; otherwise nothing is written.
        """
        if self._is_full:
            self._unsent_bytes += len(data)
            if self._unsent_bytes > MAX_UNSENT_BYTES:
                return False
        if len(data) <= PIECE_BYTES and self.is_drained:
            self._transport.write(bytes(data))
            return True
        self._waiting.append(memoryview(data))
        self._waiting_bytes += len(data)
        self._send_pieces()
        return True

    def close(self):
        """Close the connection once everything was sent."""
        if self._closes:
            return
        self._closes = True
        self.progress_s = self._clock.seconds()
        if self.is_drained:
            self._close()

    def discard(self):
        """Discard what is held."""
        self._waiting.clear()
        self._waiting_bytes = 0

    # Called by the transport.

    def pauseProducing(self):
        """Hold back what is written from now on, since the send buffer is full."""
        self._is_full = True
        self.progress_s = self._clock.seconds()
        self._report()

    def resumeProducing(self):
        """Send on, since the send buffer has drained."""
        self._is_full = False
        self._unsent_bytes = 0
        self._send_pieces()
        if not self.is_drained:
            return
        if self._closes:
            self._close()
        else:
            self._on_drained()

    def stopProducing(self):
        """Do nothing; the connection handles its end."""

    def _send_pieces(self):
        while self._waiting and not self._is_full:
            view = self._waiting.popleft()
            if len(view) > PIECE_BYTES:
                self._waiting.appendleft(view[PIECE_BYTES:])
            piece = bytes(view[:PIECE_BYTES])
            self._waiting_bytes -= len(piece)
            self._transport.write(piece)
        self._report()

    def _report(self):
        self._on_change(self._waiting_bytes + TRANSPORT_BYTES * self._is_full)

    def _close(self):
        # A transport whose producer is paused would not close by itself.
        self._transport.unregisterProducer()
        self._transport.loseConnection()
