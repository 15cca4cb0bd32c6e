"""Run an agent under one incarnation number."""

import logging
from functools import singledispatchmethod

from twisted.internet.defer import Deferred

from hemlockdock_agent.answers import AnswerStore
from hemlockdock_agent.orders import OrderGate
from hemlockdock_agent.orders.executor import OrderExecutor
from hemlockdock_agent.requests import GateView, RequestGate
from hemlockdock_agent.requests.answer_sender import AnswerSender
from hemlockdock_agent.requests.crash_detector import CrashDetector
from hemlockdock_agent.requests.executor import RequestExecutor
from hemlockdock_agent.table_changes import TableChangeTracker
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import (
    NODE_CODEC,
    Cancel,
    Dispatch,
    Leaving,
    LoadAdapterOrder,
    LoadOrder,
    Resume,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import local_node_info
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.wall_clock import wall_ms

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
TICK_S = 0.05
INVENTORY_REPEAT_MS = 2_000
FLUSH_S = 0.1
# Fractions of membership.certain_after_ms without contact, after which the agent acts. Once the
# whole time has passed, control relies on all replicas being unloaded.
UNLOAD_UNHEARD_FRACTION = 0.25
UNLOAD_IDLE_FRACTION = 0.5
FAIL_REQUESTS_FRACTION = 0.75


class AgentSession:
    """Run an agent under one incarnation number.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    engine : EngineClient
    start : SessionStart
    link_type : type
    tls : LinkTls or None
    on_lapsed : callable
        Called once everything was unloaded because contact with control was lost.
    """

    def __init__(self, reactor, settings, engine, start, link_type, tls, on_lapsed):
        self._reactor = reactor
        self._settings = settings
        self._on_lapsed = on_lapsed
        self._started_s = reactor.seconds()
        self._inventory_sent_ms = 0.0
        self._leave_deferred = None
        self._leave_deadline_ms = 0.0
        self._table_changes = TableChangeTracker()
        process = settings.process
        self._transport = MessageTransport(
            reactor,
            process.node_id,
            start.incarnation,
            NODE_CODEC,
            start.listen,
            self._on_frame,
            tls,
            settings.listen.advertised_links,
        )
        info = local_node_info(
            settings,
            "agent",
            self._transport.address,
            start.http_address,
            settings.agent.group,
            settings.agent.memory_mb,
        )
        self.link = link_type(
            reactor, settings, self._transport, info, on_table=self._table_changed
        )
        self.store = AnswerStore(settings)
        self.request_gate = RequestGate()
        gate = OrderGate(settings, start.incarnation, self._now_ms(), start.no_earlier_orders)
        self.orders = OrderExecutor(gate, engine, self.link.send, self._is_busy, self._now_ms)
        self._crash_detector = CrashDetector(
            reactor,
            f"{process.node_id}-{start.incarnation}",
            self.request_gate,
            self.orders.poll,
            self.link.send,
            self._now_ms,
        )
        self.requests = RequestExecutor(
            settings,
            self.request_gate,
            AnswerSender(self._transport.send, self.store),
            engine,
            self._view_of,
            self._crash_detector.connection_lost,
            self._now_ms,
        )
        self._crash_detector.requests = self.requests
        self._ticks = PeriodicCall(reactor, self._tick)
        self._polls = PeriodicCall(reactor, self.orders.poll)

    @property
    def address(self):
        """Return the mailbox address."""
        return self._transport.address

    @property
    def incarnation(self):
        """Return the incarnation number."""
        return self._transport.incarnation

    def start(self):
        """Join control and start to poll the engine's inventory."""
        self.link.start()
        self._polls.start(self._settings.agent.poll_ms / MS_PER_S)
        self._ticks.start(TICK_S)

    def leave(self):
        """Refuse new requests, announce the departure, and have all replicas unloaded.

        A replica that stayed loaded would count until control considers its host lost, and would
        prevent its model from being loaded elsewhere.

        Returns
        -------
        Deferred
            Fires once no request is in progress and either control has ordered everything
            unloaded or the order timeout has passed.
        """
        self.request_gate.draining = True
        self.link.set_leaving()
        leaving = Leaving(self._settings.process.node_id)
        self.link.send(leaving)
        for row in self.link.table.node_by_id.values():
            if row.role == "entry" and not row.lost:
                self._transport.send(row.address, leaving)
        deferred = Deferred()
        self.requests.when_idle(lambda: self._await_unload(deferred))
        return deferred

    def _await_unload(self, deferred):
        self._leave_deferred = deferred
        self._leave_deadline_ms = self._now_ms() + self._settings.agent.order_timeout_ms

    def _check_leave(self):
        timed_out = self._now_ms() >= self._leave_deadline_ms
        if not timed_out and not self._ensure_unloaded():
            return
        if timed_out:
            logger.warning("stopped before control had all replicas unloaded")
        deferred, self._leave_deferred = self._leave_deferred, None
        self._ticks.stop()
        # Allows the frames of the last answers to be sent first.
        self._reactor.callLater(FLUSH_S, deferred.callback, None)

    def _ensure_unloaded(self):
        """Return whether all replicas are unloaded; unload them if control is unreachable."""
        if not self.link.fresh and not self.orders.gate.lapsed:
            # Control is unreachable and cannot order the unloads.
            self.orders.lapse()
        if not self.orders.gate.is_empty:
            return False
        if not self.link.fresh:
            return True
        own_id = self._settings.process.node_id
        rows = self.link.table.replica_by_id.values()
        return all(row.node_id != own_id for row in rows)

    def close(self):
        """Stop all tasks and close the transport immediately."""
        self._ticks.stop()
        self._polls.stop()
        self.orders.stop()
        self._crash_detector.stop()
        self.link.stop()
        self._transport.close()

    def problem(self):
        """Return why requests are refused, or an empty string if they are accepted."""
        if self.request_gate.draining:
            return "draining"
        if not self.link.fresh:
            return "control was not heard"
        if not self.orders.gate.boot_id:
            return "the engine has not answered"
        return ""

    def gauges(self):
        """Return the gauges for the metrics page."""
        holdings = self.orders.gate.holdings
        return {
            "agent_replicas_held": len(holdings.replica_by_id),
            "agent_reserved_mb": holdings.reserved_mb,
            "agent_requests_in_progress": len(self.request_gate.run_by_key),
            "agent_answer_bytes_held": self.store.bytes_held,
        }

    def _on_frame(self, frame):
        if not self.link.handle(frame):
            self._handle(frame.body, frame)

    @singledispatchmethod
    def _handle(self, body, frame):
        COUNTERS.increment("agent_frames_discarded")

    @_handle.register(LoadOrder)
    @_handle.register(UnloadOrder)
    @_handle.register(LoadAdapterOrder)
    @_handle.register(UnloadAdapterOrder)
    def _(self, body, frame):
        self.orders.receive(body)

    @_handle.register
    def _(self, body: Dispatch, frame):
        self.requests.dispatch(body, frame)

    @_handle.register
    def _(self, body: Cancel, frame):
        self.requests.cancel(body)

    @_handle.register
    def _(self, body: Resume, frame):
        self.requests.resume_answer(body, frame)

    def _tick(self):
        now_ms = self._now_ms()
        nodes = self.link.table.node_by_id.values()
        self.requests.check_runs({row.node_id for row in nodes if row.role == "entry" and row.lost})
        self.store.expire(now_ms)
        for load in self.request_gate.loads.changed_loads({}):
            self.link.report_load(load)
        self.orders.advance()
        self._crash_detector.resend_reports(self.link.table)
        if self._leave_deferred is not None:
            self.orders.send_inventory()
            self._check_leave()
            return
        if now_ms - self._inventory_sent_ms >= INVENTORY_REPEAT_MS:
            self._inventory_sent_ms = now_ms
            self.orders.send_inventory()
        self._check_silence()

    def _check_silence(self):
        """Unload all replicas before control stops counting them."""
        gate = self.orders.gate
        if gate.lapsed:
            if gate.is_empty:
                self._on_lapsed()
            elif self._silent_ms() >= self._certain_ms() * FAIL_REQUESTS_FRACTION:
                self._fail_all_requests()
            return
        never_heard = self.link.seconds_since_heartbeat is None
        if never_heard and gate.is_empty:
            return
        fraction = UNLOAD_UNHEARD_FRACTION if never_heard else UNLOAD_IDLE_FRACTION
        if self._silent_ms() < self._certain_ms() * fraction:
            return
        # Applies even if nothing is held: control does not readmit an incarnation that it has
        # declared lost.
        COUNTERS.increment("agent_lapses")
        logger.warning("no contact with control for too long", extra={"ms": self._silent_ms()})
        self.orders.lapse()

    def _fail_all_requests(self):
        for run in list(self.request_gate.run_by_key.values()):
            refusal = Refusal.of(ErrorKind.ENDPOINT_LOST, "the endpoint is cut off from control")
            self.requests.fail(run, refusal)

    def _certain_ms(self):
        return self._settings.membership.certain_after_ms

    def _silent_ms(self):
        silent_s = self.link.seconds_since_heartbeat
        if silent_s is None:
            silent_s = self._reactor.seconds() - self._started_s
        return silent_s * MS_PER_S

    def _table_changed(self):
        held = self.orders.gate.holdings.replica_by_id.values()
        self._table_changes.update(self.link.table, {replica.model for replica in held})
        self.orders.gate.acknowledge_from_table(self.link.table)

    def _view_of(self, dispatch):
        table = self.link.table
        gate = self.orders.gate
        return GateView(
            self.link.fresh and not gate.lapsed,
            table.revision,
            self._table_changes.changed_revision(dispatch.model),
            table.replica_by_id.get(dispatch.replica_id),
            gate.holdings.replica_by_id.get(dispatch.replica_id),
            gate.is_unloading(dispatch.replica_id),
            table.quarantine_by_fingerprint.get(dispatch.fingerprint),
            self._table_changes.suspects,
            gate.boot_id,
            wall_ms(),
        )

    def _is_busy(self, replica_id):
        return self.request_gate.in_flight(replica_id) > 0

    def _now_ms(self):
        return self._reactor.seconds() * MS_PER_S
