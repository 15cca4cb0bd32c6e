"""A listening socket that receives frames from any number of peers."""

import logging

import pynng

from hemlockdock_core.links.descriptor_reader import DescriptorReader
from hemlockdock_core.messages.codec import MalformedFrameError, UnknownMessageError
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

MAX_FRAMES_PER_READ = 64
RECEIVE_BUFFER_FRAMES = 256
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Mailbox:
    """A listening socket that passes each received frame to a callback.

    A malformed frame is counted and closes only the connection on which it arrived. A message that
    only another software version knows is counted and discarded.

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
        # Closes, after hours, the connections of peers that have replaced them.
        self._socket.tcp_keepalive = True
        if tls_config is not None:
            self._socket.tls_config = tls_config
        listener = self._socket.listen(address)
        self.address = bound_address(address, listener)
        self._descriptor_reader = DescriptorReader(
            self._socket.recv_fd, self._receive_available, f"mailbox {address}"
        )
        reactor.addReader(self._descriptor_reader)

    def close(self):
        """Stop receiving. Repeated calls have no effect."""
        if self._socket is None:
            return
        self._reactor.removeReader(self._descriptor_reader)
        self._socket.close()
        self._socket = None

    def _receive_available(self):
        for _ in range(MAX_FRAMES_PER_READ):
            if self._socket is None:
                return
            try:
                message = self._socket.recv_msg(block=False)
            except pynng.TryAgain:
                return
            self._handle_message(message)
        # The descriptor stays readable while frames are left, so the reactor calls again.

    def _handle_message(self, message):
        try:
            frame = self._codec.decode(message.bytes)
        except UnknownMessageError as error:
            COUNTERS.increment("link_unknown_messages")
            logger.info("unknown message discarded", extra={"problem": str(error)})
            return
        except MalformedFrameError as error:
            COUNTERS.increment("link_malformed_frames")
            logger.warning("malformed frame", extra={"problem": str(error)})
            message.pipe.close()
            return
        COUNTERS.increment("link_frames_received")
        COUNTERS.increment("link_bytes_received", len(message.bytes))
        self._on_frame(frame)


def bound_address(address, listener):
    """Return the address with the port that the operating system assigned.

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
