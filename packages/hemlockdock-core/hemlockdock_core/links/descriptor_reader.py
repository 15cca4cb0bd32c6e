"""An adapter that lets the Twisted reactor watch a file descriptor of pynng."""

import logging

from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

logger = logging.getLogger(__name__)


@implementer(IReadDescriptor)
class DescriptorReader:
    """A reactor reader that calls a callback when a file descriptor is readable.

    pynng's ``recv_fd`` becomes readable when the socket can receive, and its ``send_fd`` when the
    socket can send.

    Parameters
    ----------
    descriptor : int
    on_ready : callable
        Called without arguments.
    name : str
        Name in logs.
    """

    def __init__(self, descriptor, on_ready, name):
        self._descriptor = descriptor
        self._on_ready = on_ready
        self._name = name

    def fileno(self):
        """Return the file descriptor."""
        return self._descriptor

    def logPrefix(self):
        """Return the name in logs."""
        return self._name

    def doRead(self):
        """Call the callback; an exception is logged and the reader stays registered."""
        try:
            self._on_ready()
        except Exception:
            logger.exception("link callback failed", extra={"link": self._name})

    def connectionLost(self, reason):
        """Do nothing; the owner of the socket closes it."""
