"""A dialling socket that sends frames to one peer."""

from collections import deque

import pynng

from hemlockdock_core.links.descriptor_reader import DescriptorReader
from hemlockdock_core.metrics import COUNTERS

SEND_BUFFER_FRAMES = 16
MAX_QUEUED_FRAMES = 4_096
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 500
# A socket that has accepted a queued frame within this time is connected to a peer that reads.
MOVING_S = 0.3


class Outbox:
    """A dialling socket to one peer, with a queue of frames.

    Frames are queued in order while the peer is slow or unreachable. When ``max_queued`` frames
    are queued, the oldest is dropped and counted: every protocol above resends lost messages or
    detects the loss.

    Parameters
    ----------
    reactor : twisted reactor
    address : str
    tls_config : pynng.TLSConfig, optional
    max_queued : int, optional
    """

    def __init__(self, reactor, address, tls_config=None, max_queued=MAX_QUEUED_FRAMES):
        self.address = address
        self._reactor = reactor
        self._queue = deque()
        self._max_queued = max_queued
        self._socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if tls_config is not None:
            self._socket.tls_config = tls_config
        self._socket.dial(address, block=False)
        self._descriptor_reader = DescriptorReader(
            self._socket.send_fd, self._flush, f"outbox {address}"
        )
        self._watching = False
        self._accepted_s = None

    @property
    def queued(self):
        """Return the number of queued frames."""
        return len(self._queue)

    @property
    def is_connected(self):
        """Tell whether the connection is established, as far as this side knows."""
        return self._socket is not None and bool(self._socket.pipes)

    @property
    def is_moving(self):
        """Tell whether frames are queued and the peer is receiving them, slowly."""
        if not self._queue or self._accepted_s is None:
            return False
        return self._reactor.seconds() - self._accepted_s < MOVING_S

    def send(self, data):
        """Send an encoded frame, or queue it until the socket accepts it.

        Parameters
        ----------
        data : bytes
        """
        if self._socket is None:
            return
        if not self._queue and self._try_send(data):
            return
        if len(self._queue) >= self._max_queued:
            self._queue.popleft()
            COUNTERS.increment("link_frames_dropped")
        self._queue.append(data)
        self._start_watching()

    def close(self):
        """Stop sending and drop the queued frames. Repeated calls have no effect."""
        if self._socket is None:
            return
        self._stop_watching()
        self._socket.close()
        self._socket = None
        self._queue.clear()

    def _try_send(self, data):
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        COUNTERS.increment("link_frames_sent")
        COUNTERS.increment("link_bytes_sent", len(data))
        return True

    def _flush(self):
        while self._queue:
            if not self._try_send(self._queue[0]):
                return
            self._queue.popleft()
            self._accepted_s = self._reactor.seconds()
        self._stop_watching()

    def _start_watching(self):
        if self._watching:
            return
        self._watching = True
        self._reactor.addReader(self._descriptor_reader)

    def _stop_watching(self):
        if not self._watching:
            return
        self._watching = False
        self._reactor.removeReader(self._descriptor_reader)
