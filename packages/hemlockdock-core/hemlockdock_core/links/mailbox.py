"""Receive frames from any number of peers."""

import logging

import pynng

from hemlockdock_core.links.watched_socket import WatchedDescriptor
from hemlockdock_core.messages.codec import MalformedFrameError
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

FRAMES_PER_TURN = 64
RECEIVE_BUFFER_FRAMES = 256
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Mailbox:
    """Own one listening socket and hand each frame to a handler.

    A malformed frame closes the one connection it came by and is counted.

    Parameters
    ----------
    reactor : twisted reactor
    address : str
        Such as ``tcp://127.0.0.1:0``.
    codec : Codec
    on_frame : callable
        Takes a Frame.
    tls_config : pynng.TLSConfig, optional
    """

    def __init__(self, reactor, address, codec, on_frame, tls_config=None):
        self._reactor = reactor
        self._codec = codec
        self._on_frame = on_frame
        self._socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_FRAMES, recv_max_size=MAX_FRAME_BYTES
        )
        if tls_config is not None:
            self._socket.tls_config = tls_config
        listener = self._socket.listen(address)
        self.address = bound_address(address, listener)
        self._watch = WatchedDescriptor(self._socket.recv_fd, self._drain, f"mailbox {address}")
        reactor.addReader(self._watch)

    def close(self):
        """Stop receiving; can be called again."""
        if self._socket is None:
            return
        self._reactor.removeReader(self._watch)
        self._socket.close()
        self._socket = None

    def _drain(self):
        for _ in range(FRAMES_PER_TURN):
            if self._socket is None:
                return
            try:
                message = self._socket.recv_msg(block=False)
            except pynng.TryAgain:
                return
            self._receive(message)
        # The descriptor stays readable while frames are left, so the reactor comes back.

    def _receive(self, message):
        try:
            frame = self._codec.decode(message.bytes)
        except MalformedFrameError as error:
            COUNTERS.increment("link_malformed_frames")
            logger.warning("malformed frame", extra={"problem": str(error)})
            message.pipe.close()
            return
        COUNTERS.increment("link_frames_received")
        COUNTERS.increment("link_bytes_received", len(message.bytes))
        self._on_frame(frame)


def bound_address(address, listener):
    """Return the address with the port that the system chose.

    Parameters
    ----------
    address : str
    listener : pynng.Listener

    Returns
    -------
    str
    """
    if not address.endswith(":0"):
        return address
    scheme = address.partition("://")[0]
    local = listener.local_address
    return f"{scheme}://{str(local).rpartition('://')[2]}"
