"""Run the agent of one engine."""

import logging

from twisted.internet.defer import inlineCallbacks, maybeDeferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.server import Site

from hemlockdock_agent.engine import EngineClient
from hemlockdock_agent.lifecycle import EngineLock, next_incarnation
from hemlockdock_agent.session import AgentSession
from hemlockdock_agent.session_start import SessionStart
from hemlockdock_agent.status_pages import StatusPages
from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.node import ControlLink
from hemlockdock_core.wall_clock import wall_ms

logger = logging.getLogger(__name__)


class AgentService:
    """Run the agent of one engine and control all orders and requests sent to it.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    link_type : type, optional
        Class of the link to control.
    tls : LinkTls, optional

    Attributes
    ----------
    http_address : str
        ``ip:port`` of the health and metrics pages, set by ``start``.
    node_address : str
        Mailbox address for frames, set by ``start``.
    """

    def __init__(self, reactor, settings, link_type=ControlLink, tls=None):
        self._reactor = reactor
        self._settings = settings
        self._link_type = link_type
        self._tls = tls
        self._lock = EngineLock(settings.agent.engine_url)
        self._engine = None
        self._session = None
        self._port = None
        self.http_address = ""
        self.node_address = ""

    @property
    def session(self):
        """Return the AgentSession, or None before start and after stop."""
        return self._session

    @inlineCallbacks
    def start(self):
        """Acquire the engine's lock, listen, and join control.

        Returns
        -------
        Deferred

        Raises
        ------
        EngineLockedError
            If another agent on the host holds the engine's lock.
        """
        self._lock.acquire()
        self._engine = EngineClient(self._reactor, self._settings)
        yield self._listen()
        self._join(self._settings.listen.links, None)
        logger.info("agent started", extra={"engine": self._settings.agent.engine_url})

    @inlineCallbacks
    def stop(self):
        """Refuse new requests, finish those in progress, then leave control.

        Returns
        -------
        Deferred
        """
        if self._session is not None:
            yield self._session.leave()
            self._session.close()
            self._session = None
        if self._port is not None:
            port, self._port = self._port, None
            yield maybeDeferred(port.stopListening)
        if self._engine is not None:
            yield self._engine.close()
            self._engine = None
        self._lock.release()

    def _join(self, listen, previous):
        floor = previous.incarnation if previous is not None else 0
        incarnation = next_incarnation(self._settings.process.data_folder, wall_ms(), floor)
        self._session = AgentSession(
            self._reactor,
            self._settings,
            self._engine,
            SessionStart(incarnation, listen, self.http_address, previous is not None),
            self._link_type,
            self._tls,
            self._rejoin,
        )
        self.node_address = self._session.address
        self._session.start()

    def _rejoin(self):
        # Control may already count all replicas of this incarnation as lost. A new incarnation
        # number invalidates the orders that are still in transit.
        old = self._session
        logger.warning("agent rejoins control", extra={"incarnation": old.incarnation})
        old.close()
        self._join(old.address, old)

    def _listen(self):
        address = SocketAddress.parse(self._settings.listen.http)
        site = Site(StatusPages(self._problem, self._gauges).app.resource())
        site.noisy = False
        site.log = lambda request: None
        endpoint = TCP4ServerEndpoint(self._reactor, address.port, interface=address.host)
        return endpoint.listen(site).addCallback(self._listening)

    def _listening(self, port):
        self._port = port
        address = port.getHost()
        self.http_address = f"{address.host}:{address.port}"

    def _problem(self):
        return "stopped" if self._session is None else self._session.problem()

    def _gauges(self):
        return {} if self._session is None else self._session.gauges()
