"""Send frames to one peer."""

from collections import deque

import pynng

from hemlockdock_core.links.watched_socket import WatchedDescriptor
from hemlockdock_core.metrics import COUNTERS

SEND_BUFFER_FRAMES = 16
MAX_WAITING_FRAMES = 4_096
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 500


class Outbox:
    """Own one dialling socket to one peer.

    Frames wait in order while the peer is slow or away. Beyond ``max_waiting`` the oldest are
    dropped and counted: every protocol above repeats or detects what it misses.

    Parameters
    ----------
    reactor : twisted reactor
    address : str
    tls_config : pynng.TLSConfig, optional
    max_waiting : int, optional
    """

    def __init__(self, reactor, address, tls_config=None, max_waiting=MAX_WAITING_FRAMES):
        self.address = address
        self._reactor = reactor
        self._waiting = deque()
        self._max_waiting = max_waiting
        self._socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if tls_config is not None:
            self._socket.tls_config = tls_config
        self._socket.dial(address, block=False)
        self._watch = WatchedDescriptor(self._socket.send_fd, self._flush, f"outbox {address}")
        self._watching = False

    @property
    def waiting(self):
        """Return how many frames wait."""
        return len(self._waiting)

    def send(self, data):
        """Send a frame's bytes, or keep them until the peer takes them.

        Parameters
        ----------
        data : bytes
        """
        if self._socket is None:
            return
        if not self._waiting and self._try_send(data):
            return
        if len(self._waiting) >= self._max_waiting:
            self._waiting.popleft()
            COUNTERS.increment("link_frames_dropped")
        self._waiting.append(data)
        self._watch_socket()

    def close(self):
        """Stop sending; frames that wait are dropped; can be called again."""
        if self._socket is None:
            return
        self._stop_watching()
        self._socket.close()
        self._socket = None
        self._waiting.clear()

    def _try_send(self, data):
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        COUNTERS.increment("link_frames_sent")
        COUNTERS.increment("link_bytes_sent", len(data))
        return True

    def _flush(self):
        while self._waiting:
            if not self._try_send(self._waiting[0]):
                return
            self._waiting.popleft()
        self._stop_watching()

    def _watch_socket(self):
        if self._watching:
            return
        self._watching = True
        self._reactor.addReader(self._watch)

    def _stop_watching(self):
        if not self._watching:
            return
        self._watching = False
        self._reactor.removeReader(self._watch)
