"""HTTP listener on the loopback interface."""

from twisted.internet.defer import maybeDeferred, succeed
from twisted.web.server import Site

LOOPBACK = "127.0.0.1"


class LoopbackListener:
    """Serve one resource over HTTP on the loopback interface.

    Parameters
    ----------
    reactor : twisted reactor
    port : int
        0 selects a free port.
    """

    def __init__(self, reactor, port):
        self._reactor = reactor
        self._requested_port = port
        self._port = None

    def start(self, resource):
        """Start listening.

        Parameters
        ----------
        resource : twisted.web.resource.IResource

        Returns
        -------
        str
            Base URL.
        """
        site = Site(resource)
        site.noisy = False
        site.log = lambda request: None
        self._port = self._reactor.listenTCP(self._requested_port, site, interface=LOOPBACK)
        return f"http://{LOOPBACK}:{self._port.getHost().port}"

    def stop(self):
        """Stop listening; further calls have no effect.

        Returns
        -------
        Deferred
        """
        if self._port is None:
            return succeed(None)
        port, self._port = self._port, None
        return maybeDeferred(port.stopListening)
