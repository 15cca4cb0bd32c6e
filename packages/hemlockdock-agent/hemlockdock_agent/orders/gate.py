"""Decide which orders are sent to the engine, when, and with which outcome they ended."""

from hemlockdock_agent.orders.completion import apply_completion, is_completed
from hemlockdock_agent.orders.effects import (
    AskInventory,
    ReportInventory,
    ReportResult,
    SendOrder,
)
from hemlockdock_agent.orders.engine_order import engine_body, engine_kind, order_key
from hemlockdock_agent.orders.holdings import Holdings
from hemlockdock_agent.orders.order_log import RESULT_REPEAT_MS, OrderLog
from hemlockdock_agent.orders.order_record import OrderPhase, OrderRecord
from hemlockdock_agent.orders.preparation import prepare
from hemlockdock_core.messages import (
    Inventory,
    OrderOutcome,
    OrderResult,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.settings.sections import FencingSetting

INVENTORY_INTERVAL_MS = 100


class OrderGate:
    """Decide which orders are sent to the engine, when, and with which outcome they ended.

    The gate does no I/O: each method takes an event and its time and returns the effects to
    execute. Only orders that this gate returns may be sent to the engine.

    Parameters
    ----------
    settings : Settings
    incarnation : int
    now_ms : float
    no_earlier_orders : bool, optional
        Whether no order of an earlier gate can still be in transit to the engine.

    Attributes
    ----------
    holdings : Holdings
    highest_fence : int
        Highest fence accepted in this incarnation.
    boot_id : str
        Boot id of the engine, empty until its first inventory.
    lapsed : bool
        Whether the agent unloads everything because it lost contact with control.
    """

    def __init__(self, settings, incarnation, now_ms, no_earlier_orders=False):
        self._one_at_a_time = settings.agent.fencing is FencingSetting.IGNORED
        self._timeout_ms = settings.agent.order_timeout_ms
        self._incarnation = incarnation
        # The engine does not check fences, so an order that a previous agent sent may still
        # arrive. It has arrived or failed once its timeout has passed.
        must_wait = self._one_at_a_time and not no_earlier_orders
        self._first_order_ms = now_ms + (self._timeout_ms if must_wait else 0)
        self._log = OrderLog()
        self._engine_fence = 0
        self._request_count = 0
        self._answered_request = 0
        self._next_request_ms = now_ms
        self._cached_models = ([], [])
        self.holdings = Holdings(settings.agent.memory_mb)
        self.highest_fence = 0
        self.boot_id = ""
        self.lapsed = False

    @property
    def is_empty(self):
        """Return whether no replica is held and no order is open."""
        return not self.holdings.replica_by_id and not self._log.open_records()

    def is_unloading(self, replica_id):
        """Return whether an unload of a replica is pending.

        Parameters
        ----------
        replica_id : str

        Returns
        -------
        bool
        """
        for record in self._log.open_records():
            if isinstance(record.order, UnloadOrder) and record.order.replica_id == replica_id:
                return True
        return False

    def inventory(self):
        """Return the inventory for control.

        The fence of a replica that is not ready is listed among the orders in flight, so that
        control does not treat the replica as loaded.

        Returns
        -------
        Inventory
        """
        fences = {record.order.fence for record in self._log.open_records() if not record.by_agent}
        for replica in self.holdings.replica_by_id.values():
            if not replica.ready:
                fences.add(replica.fence)
        on_disk, in_memory = self._cached_models
        return Inventory(
            self.holdings.loaded_models(), self.highest_fence, on_disk, in_memory, sorted(fences)
        )

    def receive(self, order, now_ms):
        """Accept an order from control, or repeat the result if the order is a duplicate.

        Parameters
        ----------
        order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
        now_ms : float

        Returns
        -------
        list of effect
        """
        if self.lapsed or (order.incarnation and order.incarnation != self._incarnation):
            return []
        key = order_key(order)
        known = self._log.record_by_key.get(key)
        if known is not None:
            return [ReportResult(known.result)] if known.result is not None else []
        if order.fence < self.highest_fence:
            outcome = OrderOutcome.REFUSED_OLD_FENCE
            detail = f"fence {self.highest_fence} was seen"
            return [ReportResult(OrderResult(order.replica_id, order.fence, outcome, detail))]
        self.highest_fence = order.fence
        self._log.add_record(OrderRecord(order, key, False, now_ms))
        return []

    def lapse(self, now_ms):
        """Unload everything and ignore all further orders to this incarnation.

        Parameters
        ----------
        now_ms : float
        """
        self.lapsed = True
        self._log.drop_waiting()
        for replica_id in self.holdings.replica_by_id:
            order = UnloadOrder(replica_id, self._engine_fence, self._incarnation)
            self._log.add_record(OrderRecord(order, ("lapse", replica_id), True, now_ms))

    def replied(self, key, reply, now_ms):
        """Process the engine's reply to an order, or the failure to get one.

        Parameters
        ----------
        key : tuple
        reply : OrderReply
        now_ms : float

        Returns
        -------
        list of effect
        """
        record = self._log.record_by_key.get(key)
        if record is None or record.phase is not OrderPhase.SENT:
            return []
        if reply.outcome is None:
            record.phase = OrderPhase.UNANSWERED
            self.holdings.mark_changed(record.order.replica_id)
            return []
        return self._end(record, reply.outcome, reply.detail, now_ms)

    def ask(self, now_ms):
        """Return the effect that requests the inventory.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        AskInventory
        """
        self._request_count += 1
        self._next_request_ms = now_ms + INVENTORY_INTERVAL_MS
        return AskInventory(self._request_count, self.holdings.change_count)

    def take_inventory(self, inventory, request, now_ms):
        """Update the state from an inventory of the engine.

        Parameters
        ----------
        inventory : EngineInventory or None
            None if the request failed.
        request : AskInventory
            The request that the inventory answers.
        now_ms : float

        Returns
        -------
        list of effect
        """
        if inventory is None:
            return self._expire_unanswered(now_ms)
        if request.number < self._answered_request:
            return []
        self._answered_request = request.number
        restarted = inventory.boot_id != self.boot_id
        if restarted:
            self.boot_id = inventory.boot_id
            self._engine_fence = 0
        self._engine_fence = max(self._engine_fence, inventory.highest_fence)
        effects = self._resolve_unanswered(inventory, request, now_ms)
        open_ids = {record.order.replica_id for record in self._log.open_records()}
        changed = self.holdings.reconcile(inventory, request.change_count, open_ids)
        cached_models = (inventory.cached_on_disk, inventory.cached_in_memory)
        changed |= cached_models != self._cached_models
        self._cached_models = cached_models
        if changed or restarted:
            effects.append(ReportInventory())
        return effects

    def advance(self, now_ms, is_busy):
        """Send the orders that may run, request an inventory if needed, and repeat results.

        Parameters
        ----------
        now_ms : float
        is_busy : callable
            Takes a replica id, returns whether requests are in progress on it.

        Returns
        -------
        list of effect
        """
        effects = self._send_waiting(now_ms, is_busy)
        unanswered = any(
            record.phase is OrderPhase.UNANSWERED for record in self._log.open_records()
        )
        if (unanswered or not self.boot_id) and now_ms >= self._next_request_ms:
            effects.append(self.ask(now_ms))
        effects += self._log.due_results(now_ms)
        return effects

    def acknowledge_from_table(self, table):
        """Stop repeating results that the routing table reflects.

        Parameters
        ----------
        table : RoutingTable
        """
        self._log.acknowledge_from_table(table)

    def _send_waiting(self, now_ms, is_busy):
        if not self.boot_id or now_ms < self._first_order_ms:
            return []
        effects = []
        blocked_ids = set()
        any_in_flight = any(record.in_flight for record in self._log.open_records())
        for record in self._log.open_records():
            replica_id = record.order.replica_id
            if record.in_flight or replica_id in blocked_ids:
                # Orders for one replica are executed in the order in which they arrived.
                blocked_ids.add(replica_id)
                continue
            if self._one_at_a_time and any_in_flight:
                break
            if isinstance(record.order, UnloadOrder) and is_busy(replica_id):
                blocked_ids.add(replica_id)
                continue
            refused = prepare(record.order, self.holdings)
            if refused is not None:
                effects += self._end(record, *refused, now_ms)
                continue
            blocked_ids.add(replica_id)
            any_in_flight = True
            effects.append(self._send(record, now_ms))
        return effects

    def _send(self, record, now_ms):
        order = record.order
        # An unload may have waited for requests to finish while orders with higher fences were
        # sent; the engine must never receive a lower fence than before.
        self._engine_fence = max(self._engine_fence, order.fence)
        record.phase = OrderPhase.SENT
        record.sent_ms = now_ms
        record.sent_fence = self._engine_fence
        self.holdings.mark_changed(order.replica_id)
        timeout_ms = min(getattr(order, "timeout_ms", 0) or self._timeout_ms, self._timeout_ms)
        body = engine_body(order, record.sent_fence)
        return SendOrder(record.key, engine_kind(order), body, timeout_ms)

    def _end(self, record, outcome, detail, now_ms):
        order = record.order
        self.holdings.mark_changed(order.replica_id)
        took_ms = int(now_ms - record.sent_ms) if record.in_flight else 0
        record.phase = OrderPhase.ENDED
        if outcome is OrderOutcome.DONE:
            apply_completion(order, self.holdings)
        if record.by_agent:
            del self._log.record_by_key[record.key]
            return []
        record.result = OrderResult(order.replica_id, order.fence, outcome, detail, took_ms)
        record.repeat_ms = now_ms + RESULT_REPEAT_MS
        return [ReportResult(record.result), ReportInventory()]

    def _resolve_unanswered(self, inventory, request, now_ms):
        effects = []
        for record in self._log.open_records():
            changed_at = self.holdings.changed_at_by_id.get(record.order.replica_id, 0)
            if record.phase is OrderPhase.UNANSWERED and changed_at <= request.change_count:
                effects += self._resolve(record, inventory, now_ms)
        return effects

    def _resolve(self, record, inventory, now_ms):
        """Determine from an inventory how an order without a reply ended."""
        order = record.order
        in_progress = record.sent_fence in inventory.orders_in_flight
        if not in_progress and is_completed(order, inventory):
            return self._end(record, OrderOutcome.DONE, "found in the inventory", now_ms)
        waited_ms = now_ms - record.sent_ms
        if waited_ms < self._timeout_ms and (in_progress or self._one_at_a_time):
            return []
        if isinstance(order, UnloadOrder | UnloadAdapterOrder):
            record.phase = OrderPhase.WAITING
            return []
        outcome = OrderOutcome.TIMED_OUT if in_progress else OrderOutcome.FAILED
        return self._end(record, outcome, "the answer was lost", now_ms)

    def _expire_unanswered(self, now_ms):
        effects = []
        for record in self._log.open_records():
            if isinstance(record.order, UnloadOrder | UnloadAdapterOrder):
                continue
            waited_ms = now_ms - record.sent_ms
            if record.phase is OrderPhase.UNANSWERED and waited_ms >= self._timeout_ms:
                detail = "the engine does not answer"
                effects += self._end(record, OrderOutcome.TIMED_OUT, detail, now_ms)
        return effects
