"""Listen for operators' requests."""

from twisted.internet.defer import maybeDeferred, succeed
from twisted.internet.error import CannotListenError

from hemlockdock_control.admin.limited_site import LimitedSite
from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.metrics import COUNTERS


class AdminListener:
    """Listen on the port of the operators' API.

    Parameters
    ----------
    reactor : twisted reactor
    settings : hemlockdock_core.settings.Settings
    resource : twisted.web.resource.Resource
        Handles the requests.
    idle : callable, optional
        Returns a Deferred that fires once no request is in progress.
    """

    def __init__(self, reactor, settings, resource, idle=None):
        self._reactor = reactor
        self._settings = settings
        self._resource = resource
        self._idle = idle or (lambda: succeed(None))
        self._port = None
        self._site = None

    @property
    def address(self):
        """Return the ``ip:port`` that it listens on."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def start(self):
        """Start to listen.

        Raises
        ------
        twisted.internet.error.CannotListenError
        """
        address = SocketAddress.parse(self._settings.listen.admin)
        self._site = LimitedSite(self._resource, self._reactor)
        try:
            self._port = self._reactor.listenTCP(address.port, self._site, interface=address.host)
        except CannotListenError:
            COUNTERS.increment("admin_listen_failures")
            raise

    def stop(self):
        """Stop accepting connections and finish the requests in progress.

        Returns
        -------
        Deferred
        """
        if self._port is None:
            return succeed(None)
        stopped = maybeDeferred(self._port.stopListening)
        stopped.addCallback(lambda _: self._idle())
        stopped.addCallback(lambda _: self._site.close_connections())
        return stopped
