"""Stand-in engine that can crash and restart within one process."""

import itertools

from twisted.internet.defer import inlineCallbacks, maybeDeferred, succeed
from twisted.internet.task import deferLater
from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Site

from hemlockdock_standins.engine.ledger import StandInLedger
from hemlockdock_standins.engine.options import EngineOptions
from hemlockdock_standins.engine.orders import EngineOrders
from hemlockdock_standins.engine.reports import EngineReports
from hemlockdock_standins.engine.requests import EngineRequests
from hemlockdock_standins.engine.routes import EngineRoutes
from hemlockdock_standins.engine.state import EngineState
from hemlockdock_standins.weight_store import StandInWeightStore

LOOPBACK = "127.0.0.1"
MS_PER_S = 1_000.0
LISTEN_BACKLOG = 256
DRAIN_POLL_INTERVAL_S = 0.01

_boot_numbers = itertools.count(1)


class TrackingFactory(WrappingFactory):
    """Track open connections so that a simulated crash can abort them."""

    noisy = False

    def abort_connections(self):
        """Abort all connections immediately."""
        for wrapper in list(self.protocols):
            wrapper.transport.abortConnection()


class StandInEngine:
    """Serve a model engine's HTTP interface on a loopback port.

    Parameters
    ----------
    reactor : twisted reactor
    options : EngineOptions, optional
    store : StandInWeightStore, optional
        Defaults to a store that only this engine uses.
    ledger : StandInLedger, optional
        Pass the same ledger to several engines to count over all of them.

    Attributes
    ----------
    url : str
        Base URL, set by `start`.
    boot_id : str
        Changes at every start and at every restart after a crash.
    crashes : int
    """

    def __init__(self, reactor, options=None, store=None, ledger=None):
        self._reactor = reactor
        self._owns_store = store is None
        self._port = None
        self._restart_call = None
        self.options = options or EngineOptions()
        self.ledger = ledger or StandInLedger()
        self.store = store or StandInWeightStore(reactor)
        self.state = EngineState(self.options, self.ledger)
        self.reports = EngineReports(reactor, self.options)
        self.orders = EngineOrders(reactor, self.options, self.state, self.store, self.ledger)
        self.requests = EngineRequests(reactor, self.options, self.state, self.ledger, self.crash)
        site = Site(EngineRoutes(self).app.resource())
        site.log = lambda request: None
        site.displayTracebacks = False
        self._factory = TrackingFactory(site)
        self.url = ""
        self.boot_id = ""
        self.crashes = 0

    def start(self):
        """Start listening.

        Returns
        -------
        Deferred
        """
        self._listen()
        return succeed(None)

    @inlineCallbacks
    def stop(self):
        """Abort all connections and stop listening.

        Returns
        -------
        Deferred
        """
        if self._restart_call is not None:
            self._restart_call.cancel()
            self._restart_call = None
        if self._owns_store:
            self.store.close()
        yield self._close()
        while self._factory.protocols:
            # A connection may have been accepted while the others were aborted.
            self._factory.abort_connections()
            yield deferLater(self._reactor, DRAIN_POLL_INTERVAL_S)

    def crash(self):
        """Abort all connections, lose all loaded models, and listen again after ``restart_ms``."""
        if self._port is None:
            return
        self.crashes += 1
        self._close()
        self._restart_call = self._reactor.callLater(
            self.options.restart_ms / MS_PER_S, self._listen
        )

    def _listen(self):
        self._restart_call = None
        self.boot_id = f"boot-{next(_boot_numbers)}"
        self._port = self._reactor.listenTCP(
            self.options.port, self._factory, backlog=LISTEN_BACKLOG, interface=LOOPBACK
        )
        self.options.port = self._port.getHost().port
        self.url = f"http://{LOOPBACK}:{self.options.port}"

    def _close(self):
        self._factory.abort_connections()
        self.state.clear()
        self.orders.crash()
        self.requests.crash()
        if self._port is None:
            return succeed(None)
        port, self._port = self._port, None
        return maybeDeferred(port.stopListening)
