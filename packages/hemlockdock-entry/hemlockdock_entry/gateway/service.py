"""Service that runs an entry of a fleet."""

import logging

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.connection_limits import LimitedConnectionsFactory
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.links import LinkTls
from hemlockdock_core.messages import (
    AdapterHeld,
    CrashNotice,
    EntryList,
    LoadSummary,
    PermitReply,
    QuotaReply,
    SoundNotice,
    StreamOriginReply,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import ControlLink, local_node_info, open_local_transport
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.process_memory import limit_heap_retention
from hemlockdock_core.wire import load_wire
from hemlockdock_entry.gateway.client_connection import ClientConnection
from hemlockdock_entry.gateway.gateway import Gateway
from hemlockdock_entry.gateway.readiness import ReadinessFactory
from hemlockdock_entry.routing import handle_notice

logger = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 0.5
# The platform probes readiness every second and stops routing to the entry after two failures.
# Requests that arrive later than 3 s after SIGTERM must not be cut off when the process exits, so
# the entry refuses new requests before that.
LISTEN_WHILE_DRAINING_S = 2.8
# Waiting requests are refused early enough for their clients to be served by another entry.
REFUSE_WAITING_AFTER_S = 4.5
# Running requests are aborted this long before the process is killed.
GRACE_MARGIN_S = 0.5
MODEL_QUEUE_CHECK_INTERVAL_S = 0.1
FLUSH_S = 0.1
# Notices of crashes, which are rare, open a connection with each other entry.
LINK_IDLE_S = 60.0
LISTEN_BACKLOG = 512


class GatewayService:
    """Run the gateway as an entry of a fleet.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    tls : LinkTls, optional
    """

    def __init__(self, reactor, settings, tls=None):
        self._reactor = reactor
        self._settings = settings
        self._tls = tls or LinkTls.of(settings)
        self._wire = load_wire(settings)
        self._transport = None
        self._link = None
        self._ports = []
        self._maintenance = None
        self._queue_check = None
        self._stopped = None
        self.gateway = Gateway(reactor, settings, self._wire, self._send)

    @property
    def is_ready(self):
        """Return whether the entry accepts new connections."""
        return self.gateway.routes is not None and not self.gateway.draining

    def start(self):
        """Start listening, and connect to control."""
        if not limit_heap_retention():
            logger.warning("allocator threshold not set")
        self._transport = open_local_transport(
            self._reactor, self._settings, self._on_frame, self._tls
        )
        info = local_node_info(
            self._settings, "entry", self._transport.address, self._settings.listen.http
        )
        self._link = ControlLink(
            self._reactor, self._settings, self._transport, info, self.gateway.table_changed
        )
        self.gateway.attach_link(self._link)
        self._listen(self._settings.listen.http, ClientConnectionFactory(self.gateway))
        readiness = ReadinessFactory(self._wire.ready_path, self._ready)
        self._listen(
            self._settings.listen.ready,
            LimitedConnectionsFactory(readiness, "ready_connections_dropped"),
        )
        self._link.start()
        self._maintenance = PeriodicCall(self._reactor, self._run_maintenance)
        self._maintenance.start(MAINTENANCE_INTERVAL_S, now=False)
        self._queue_check = PeriodicCall(self._reactor, self.gateway.model_queue.check_waiting)
        self._queue_check.start(MODEL_QUEUE_CHECK_INTERVAL_S, now=False)
        logger.info("entry started", extra={"http": self._settings.listen.http})

    def stop(self):
        """Drain the entry and stop it.

        It reports not ready at once, accepts requests until clients have moved to other entries,
        and then completes the requests in progress.

        Returns
        -------
        Deferred
        """
        if self._stopped is not None:
            return self._stopped
        self._stopped = Deferred()
        if self._link is None:
            self._stopped.callback(None)
            return self._stopped
        logger.info("entry is draining", extra={"in_progress": self.gateway.in_progress})
        self.gateway.draining = True
        self._reactor.callLater(LISTEN_WHILE_DRAINING_S, self._stop_listening)
        self._reactor.callLater(REFUSE_WAITING_AFTER_S, self._refuse_waiting)
        grace_s = max(LISTEN_WHILE_DRAINING_S, self._settings.fleet.grace_s - GRACE_MARGIN_S)
        self.gateway.stop_schedule.begin(grace_s)
        self._reactor.callLater(grace_s, self._abort_requests)
        return self._stopped

    def reload(self, settings):
        """Apply changed settings: the addresses of control.

        Parameters
        ----------
        settings : Settings
        """
        self._link.update_seeds(settings)

    def _run_maintenance(self):
        self.gateway.run_maintenance()
        self._transport.disconnect_idle(LINK_IDLE_S)

    def _listen(self, address, factory):
        parsed = SocketAddress.parse(address)
        self._ports.append(
            self._reactor.listenTCP(
                parsed.port, factory, backlog=LISTEN_BACKLOG, interface=parsed.host
            )
        )

    def _ready(self):
        return self.is_ready

    def _stop_listening(self):
        for port in self._ports:
            port.stopListening()
        self._ports = []
        self.gateway.refuses_new_requests = True
        self.gateway.clients.close_idle()
        self.gateway.call_when_idle(self._end_when_sent)

    def _end_when_sent(self):
        # Responses that are complete are still being read; the grace period limits the wait.
        if self._transport is not None and self.gateway.clients.has_unsent:
            self._reactor.callLater(FLUSH_S, self._end_when_sent)
            return
        self._abort_requests()

    def _refuse_waiting(self):
        self.gateway.model_queue.refuse_all(Refusal.of(ErrorKind.DRAINING, "the entry stops"))

    def _abort_requests(self):
        if self._transport is None:
            return
        self.gateway.shut_down_exchanges()
        # Let buffered responses be sent before the process exits.
        self._reactor.callLater(FLUSH_S, self._shut_down)

    def _shut_down(self):
        if self._transport is None:
            return
        logger.info("entry stopped", extra={"in_progress": self.gateway.in_progress})
        self._maintenance.stop()
        self._queue_check.stop()
        self._link.stop()
        self._transport.close()
        self._transport = None
        self._stopped.callback(None)

    def _on_frame(self, frame):
        if self._link is None or self._link.handle(frame):
            return
        if isinstance(frame.body, AdapterHeld):
            self.gateway.model_queue.on_adapter_held(frame.body)
            return
        if isinstance(frame.body, PermitReply):
            self.gateway.permits.on_reply(frame.body)
            return
        if isinstance(frame.body, QuotaReply):
            self.gateway.quotas.on_reply(frame.body)
            return
        if isinstance(frame.body, StreamOriginReply):
            self.gateway.origin_lookup.on_reply(frame.sender, frame.body)
            return
        if isinstance(frame.body, EntryList):
            self.gateway.other_entries.update(frame.body.addresses)
            return
        if isinstance(frame.body, LoadSummary):
            self.gateway.selection.record_loads(frame.body)
            return
        if isinstance(frame.body, CrashNotice | SoundNotice):
            handle_notice(frame.body, frame.sender, self.gateway.quarantine)
            return
        COUNTERS.increment("entry_frames_discarded")

    def _send(self, address, message):
        self._transport.send(address, message)


class ClientConnectionFactory(Factory):
    """Create the protocols of client connections.

    Parameters
    ----------
    gateway : Gateway
    """

    noisy = False

    def __init__(self, gateway):
        self._gateway = gateway

    def buildProtocol(self, addr):
        """Create the protocol of a client connection."""
        return ClientConnection(self._gateway)
