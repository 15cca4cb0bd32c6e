"""Execute the effects that the order gate returns."""

import logging
from functools import singledispatchmethod

from hemlockdock_agent.orders.effects import (
    AskInventory,
    ReportInventory,
    ReportResult,
    SendOrder,
)
from hemlockdock_core.messages import OrderOutcome
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)


class OrderExecutor:
    """Execute the effects that the order gate returns.

    No other class sends orders to the engine.

    Parameters
    ----------
    gate : OrderGate
    engine : EngineClient
    send : callable
        Takes a message for control.
    is_busy : callable
        Takes a replica id, returns whether requests are in progress on it.
    now_ms : callable
        Returns monotonic milliseconds.
    """

    def __init__(self, gate, engine, send, is_busy, now_ms):
        self._gate = gate
        self._engine = engine
        self._send = send
        self._is_busy = is_busy
        self._now_ms = now_ms
        self._stopped = False

    @property
    def gate(self):
        """Return the OrderGate."""
        return self._gate

    def stop(self):
        """Ignore all further replies of the engine."""
        self._stopped = True

    def receive(self, order):
        """Process an order from control.

        Parameters
        ----------
        order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
        """
        self._run(self._gate.receive(order, self._now_ms()))
        self.advance()

    def advance(self):
        """Execute what the gate has due now."""
        self._run(self._gate.advance(self._now_ms(), self._is_busy))

    def poll(self):
        """Request the inventory of the engine.

        Returns
        -------
        Deferred of EngineInventory or None
        """
        return self._request_inventory(self._gate.ask(self._now_ms()))

    def lapse(self):
        """Unload everything and ignore all further orders."""
        self._gate.lapse(self._now_ms())
        self.advance()

    def send_inventory(self):
        """Send the inventory to control if the engine has reported one."""
        if self._gate.boot_id:
            self._send(self._gate.inventory())

    def _run(self, effects):
        if self._stopped:
            return
        for effect in effects:
            self._execute(effect)

    @singledispatchmethod
    def _execute(self, effect):
        raise TypeError(f"unknown effect type: {type(effect).__name__}")

    @_execute.register
    def _(self, effect: SendOrder):
        COUNTERS.increment("agent_orders_sent", kind=effect.kind)
        logger.info("order sent", extra={"kind": effect.kind, "order": effect.body})
        deferred = self._engine.order(effect.kind, effect.body, effect.timeout_ms)
        deferred.addCallback(self._receive_reply, effect.key)

    @_execute.register
    def _(self, effect: AskInventory):
        self._request_inventory(effect)

    @_execute.register
    def _(self, effect: ReportResult):
        if effect.result.outcome is not OrderOutcome.DONE:
            COUNTERS.increment("agent_orders_failed", outcome=effect.result.outcome.value)
        self._send(effect.result)

    @_execute.register
    def _(self, effect: ReportInventory):
        self._send(self._gate.inventory())

    def _receive_reply(self, reply, key):
        if self._stopped:
            return
        self._run(self._gate.replied(key, reply, self._now_ms()))
        self.advance()

    def _request_inventory(self, effect):
        deferred = self._engine.inventory()
        return deferred.addCallback(self._receive_inventory, effect)

    def _receive_inventory(self, inventory, request):
        if not self._stopped:
            self._run(self._gate.take_inventory(inventory, request, self._now_ms()))
            self._run(self._gate.advance(self._now_ms(), self._is_busy))
        return inventory
