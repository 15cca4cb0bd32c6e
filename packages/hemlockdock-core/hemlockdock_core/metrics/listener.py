"""HTTP listener for the metrics of a process."""

from twisted.internet.defer import maybeDeferred, succeed
from twisted.web.resource import Resource
from twisted.web.server import Site

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.connection_limits import LimitedConnectionsFactory
from hemlockdock_core.metrics.counters import COUNTERS
from hemlockdock_core.metrics.gauges import GAUGES
from hemlockdock_core.metrics.latencies import LATENCIES

METRICS_PATH = b"/metrics"
NOT_FOUND = 404


class MetricsResource(Resource):
    """Twisted resource with all counters, gauges and latencies in the Prometheus text format."""

    isLeaf = True

    def render_GET(self, request):
        """Return the metrics, or set status 404 if the path is another one."""
        if request.path != METRICS_PATH:
            request.setResponseCode(NOT_FOUND)
            return b""
        # Imported on demand: the Prometheus library is needed only if metrics are requested.
        from hemlockdock_core.metrics.exposition import exposition

        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4")
        return exposition(COUNTERS, LATENCIES, {}, GAUGES)


class MetricsListener:
    """Serves metrics over HTTP at the address in the settings.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    """

    def __init__(self, reactor, settings):
        self._reactor = reactor
        self._address = settings.listen.metrics
        self._port = None

    def start(self):
        """Start listening."""
        address = SocketAddress.parse(self._address)
        site = Site(MetricsResource())
        site.noisy = False
        site.log = lambda request: None
        factory = LimitedConnectionsFactory(site, "metrics_connections_dropped")
        self._port = self._reactor.listenTCP(address.port, factory, interface=address.host)

    def stop(self):
        """Stop listening.

        Returns
        -------
        Deferred
        """
        if self._port is None:
            return succeed(None)
        port, self._port = self._port, None
        return maybeDeferred(port.stopListening)
