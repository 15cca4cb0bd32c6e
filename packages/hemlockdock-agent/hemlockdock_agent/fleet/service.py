"""Run the agent of one engine of a fleet."""

import logging
from functools import singledispatchmethod

from twisted.internet.defer import inlineCallbacks

from hemlockdock_agent.fleet.adapters import HOLD_S, AdapterScheduler
from hemlockdock_agent.fleet.engine_client import FleetEngineClient
from hemlockdock_agent.fleet.engine_speed import EngineSpeed
from hemlockdock_agent.fleet.memory import EngineMemory
from hemlockdock_agent.fleet.model_change import ChangeStep, ModelChange
from hemlockdock_agent.fleet.reachability import EngineReachability
from hemlockdock_core.http import HttpClient
from hemlockdock_core.links import LinkTls
from hemlockdock_core.messages import (
    AdapterHeld,
    AdapterWish,
    ChangeModels,
    EndpointReport,
    EngineFacts,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import ControlLink, local_node_info, open_local_transport
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.wire import EngineOrder, EngineOrderResponse, OrderAction, load_wire

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# Control considers an agent lost if it reports less often than this.
REPORT_REPEAT_S = 0.8
# Poll interval while the engine executes an order.
BUSY_POLL_S = 0.025
# Delay before an order that the engine did not accept is sent again.
ORDER_RETRY_S = 0.03


class FleetAgentService:
    """Run the agent of one engine of a fleet.

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
        self._client = HttpClient(reactor)
        self._engine = FleetEngineClient(settings, self._wire, self._client)
        self._transport = None
        self._link = None
        self._report = None
        self._sent_report = None
        self._sent_s = float("-inf")
        self._change = None
        self._change_number = 0
        self._term = 0
        self._expected_endpoint_id = ""
        self._reported_endpoint_id = ""
        self._probe_path = ""
        self._probing = False
        self._memory = None
        self._facts_number = 0
        self._paused_until_s = 0.0
        self._reachability = EngineReachability()
        self._speed = EngineSpeed()
        self._adapters = AdapterScheduler()
        self._order_in_flight = False
        self._polling = False
        self._next_call = None
        self._loop = PeriodicCall(reactor, self._poll)

    def start(self):
        """Listen for frames, join control and poll the engine."""
        self._transport = open_local_transport(
            self._reactor, self._settings, self._on_frame, self._tls
        )
        info = local_node_info(
            self._settings, "agent", self._transport.address, group=self._settings.fleet.pool
        )
        self._link = ControlLink(self._reactor, self._settings, self._transport, info)
        self._link.start(watch=False)
        self._loop.start(self._settings.fleet.report_ms / MS_PER_S)
        logger.info("agent started", extra={"engine": self._settings.fleet.engine})

    def stop(self):
        """Stop the agent; the engine keeps its state."""
        self._loop.stop()
        if self._next_call is not None and self._next_call.active():
            self._next_call.cancel()
        self._link.stop()
        self._client.close()
        self._transport.close()
        logger.info("agent stopped")

    def reload(self, settings):
        """Apply new settings; only the addresses of control are updated.

        Parameters
        ----------
        settings : Settings
        """
        self._link.update_seeds(settings)

    def _on_frame(self, frame):
        if not self._link.handle(frame):
            self._handle(frame.body, frame)

    @singledispatchmethod
    def _handle(self, body, frame):
        COUNTERS.increment("agent_frames_discarded")

    @_handle.register
    def _(self, body: ChangeModels, frame):
        if body.term < self._term or body.number <= self._change_number:
            COUNTERS.increment("agent_changes_outdated")
            return
        self._term = body.term
        self._change_number = body.number
        if self._report is None or self._memory is None:
            return
        self._expected_endpoint_id = body.endpoint_id
        self._change = ModelChange(body, self._settings.process.node_id, self._report.started_ms)
        logger.info("change accepted", extra={"change": body.number, "load": body.load})
        self._advance()

    @_handle.register
    def _(self, body: EngineFacts, frame):
        if body.term < self._term:
            COUNTERS.increment("agent_changes_outdated")
            return
        self._term = body.term
        self._facts_number = body.number
        self._memory = EngineMemory(body.engine)
        self._probe_path = body.probe_path
        self._identify_engine()
        if self._report is not None:
            self._send_report()

    @_handle.register
    def _(self, body: AdapterWish, frame):
        now_s = self._reactor.seconds()
        self._expected_endpoint_id = body.endpoint_id
        self._adapters.request(body.model, body.adapter, frame.reply_to, now_s)
        self._serve_adapters()

    @inlineCallbacks
    def _poll(self):
        if self._polling:
            return
        self._polling = True
        report = yield self._engine.report()
        self._polling = False
        if report is None:
            self._reachability.poll_failed()
            if self._report is not None and not self._reachability.is_reachable:
                self._send_report()
            return
        self._reachability.poll_succeeded()
        self._handle_report(report)

    def _handle_report(self, report):
        if self._report is not None and report.started_ms != self._report.started_ms:
            logger.info("engine restarted", extra={"started_ms": report.started_ms})
            self._adapters.clear()
            self._reported_endpoint_id = ""
        self._speed.observe(report, self._reactor.seconds())
        self._report = report.without_runs()
        self._identify_engine()
        self._advance()
        self._serve_adapters()
        self._send_report()

    @inlineCallbacks
    def _identify_engine(self):
        """Request the endpoint id once per start of the engine."""
        if (
            self._reported_endpoint_id
            or self._probing
            or not self._probe_path
            or self._report is None
        ):
            return
        started_ms = self._report.started_ms
        self._probing = True
        reported_id = yield self._engine.endpoint_id(self._probe_path)
        self._probing = False
        if reported_id and self._report.started_ms == started_ms:
            self._reported_endpoint_id = reported_id
            logger.info(
                "engine identified", extra={"endpoint": reported_id, "started_ms": started_ms}
            )
            self._send_report()

    def _advance(self):
        if self._change is None or self._is_paused():
            return
        change = self._change
        step = change.next_step(self._report, self._memory, self._term)
        if step.step is ChangeStep.DONE:
            logger.info(
                "change finished", extra={"change": change.message.number, "outcome": step.reason}
            )
            self._change = None
            return
        if step.step is ChangeStep.ORDER:
            self._send_order(step.order)
            return
        self._poll_soon()

    @inlineCallbacks
    def _send_order(self, order):
        self._order_in_flight = True
        answer = yield self._engine.order(order, self._expected_endpoint_id)
        self._order_in_flight = False
        if answer in (
            EngineOrderResponse.OTHER_ENGINE,
            EngineOrderResponse.IMPOSSIBLE,
            EngineOrderResponse.FENCED,
        ):
            self._change = None
        if (
            answer is EngineOrderResponse.BUSY
            and order.adapter
            and order.action is OrderAction.UNLOAD
        ):
            name = (order.model, order.adapter)
            self._adapters.unload_refused(name, self._reactor.seconds())
        if answer not in (EngineOrderResponse.ACCEPTED, EngineOrderResponse.HOLDS_ALREADY):
            self._paused_until_s = self._reactor.seconds() + ORDER_RETRY_S
            self._poll_soon()
            return
        yield self._poll()

    def _is_paused(self):
        if self._order_in_flight or self._report is None or self._memory is None:
            return True
        return self._reactor.seconds() < self._paused_until_s

    def _poll_soon(self):
        if self._next_call is None or not self._next_call.active():
            self._next_call = self._reactor.callLater(BUSY_POLL_S, self._poll)

    def _serve_adapters(self):
        if self._report is None:
            return
        now_s = self._reactor.seconds()
        for requested, entries, loaded in self._adapters.pop_answers(self._report, now_s):
            held_ms = int(HOLD_S * MS_PER_S) if loaded else 0
            message = AdapterHeld(
                self._expected_endpoint_id, requested.model, requested.adapter, held_ms
            )
            for address in entries:
                self._transport.send(address, message)
        if self._is_paused() or self._report.busy:
            return
        requested, victim = self._adapters.next_load(self._report, self._memory, now_s)
        if victim is not None:
            self._send_order(self._adapter_order(OrderAction.UNLOAD, *victim))
        elif requested is not None:
            requested.load_ordered_s = now_s
            self._send_order(
                self._adapter_order(OrderAction.LOAD, requested.model, requested.adapter)
            )

    def _adapter_order(self, action, model, adapter):
        return EngineOrder(
            action,
            model,
            adapter,
            self._report.sequence,
            self._settings.process.node_id,
            self._term,
        )

    def _send_report(self):
        now_s = self._reactor.seconds()
        message = EndpointReport(
            self._settings.fleet.pool,
            self._settings.fleet.engine,
            self._report,
            self._change_number,
            self._change is not None,
            self._facts_number,
            self._reachability.is_reachable,
            self._reported_endpoint_id,
            "" if self._change is None else self._change.message.load,
            self._speed.per_s,
        )
        if message == self._sent_report and now_s - self._sent_s < REPORT_REPEAT_S:
            return
        self._sent_report = message
        self._sent_s = now_s
        self._link.send(message)
