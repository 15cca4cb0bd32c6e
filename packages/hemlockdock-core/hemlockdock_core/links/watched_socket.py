"""Let the reactor watch a descriptor that pynng owns."""

import logging

from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

logger = logging.getLogger(__name__)


@implementer(IReadDescriptor)
class WatchedDescriptor:
    """Call back when a descriptor is readable.

    Both ``recv_fd`` and ``send_fd`` of pynng become readable when the socket can go on.

    Parameters
    ----------
    descriptor : int
    on_ready : callable
        Takes nothing.
    name : str
        For logs.
    """

    def __init__(self, descriptor, on_ready, name):
        self._descriptor = descriptor
        self._on_ready = on_ready
        self._name = name

    def fileno(self):
        """Return the descriptor."""
        return self._descriptor

    def logPrefix(self):
        """Return the name for logs."""
        return self._name

    def doRead(self):
        """Call back; an exception is logged and does not end the watch."""
        try:
            self._on_ready()
        except Exception:
            logger.exception("reader failed", extra={"link": self._name})

    def connectionLost(self, reason):
        """Do nothing; the socket's owner closes it."""
