"""Listen for operators."""

from twisted.internet.defer import maybeDeferred, succeed
from twisted.internet.error import CannotListenError

from hemlockdock_control.admin.api import AdminApi
from hemlockdock_control.admin.limited_site import LimitedSite
from hemlockdock_core.metrics import COUNTERS


class AdminListener:
    """Own the operators' port.

    Parameters
    ----------
    reactor : twisted reactor
    settings : hemlockdock_core.settings.Settings
    replicator : Replicator
    proposer : Proposer
    pages : AdminPages
    """

    def __init__(self, reactor, settings, replicator, proposer, pages):
        self._reactor = reactor
        self._settings = settings
        self._api = AdminApi(reactor, settings, replicator, proposer, pages)
        self._port = None
        self._site = None

    @property
    def address(self):
        """Return ``ip:port``."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def start(self):
        """Begin to listen.

        Raises
        ------
        twisted.internet.error.CannotListenError
        """
        interface, _, port = self._settings.listen.admin.rpartition(":")
        self._site = LimitedSite(self._api.app.resource(), self._reactor)
        try:
            self._port = self._reactor.listenTCP(
                int(port), self._site, interface=interface.strip("[]")
            )
        except CannotListenError:
            COUNTERS.increment("admin_listen_failures")
            raise

    def stop(self):
        """Stop accepting, and finish the requests under way.

        Returns
        -------
        Deferred
        """
        if self._port is None:
            return succeed(None)
        stopped = maybeDeferred(self._port.stopListening)
        stopped.addCallback(lambda _: self._api.idle())
        stopped.addCallback(lambda _: self._site.close_connections())
        return stopped
