"""Decide which orders go to the engine, when, and how they ended."""

from functools import singledispatchmethod

from hemlockdock_agent.orders.acknowledgement import shown
from hemlockdock_agent.orders.effects import (
    AskInventory,
    ReportInventory,
    ReportResult,
    SendOrder,
)
from hemlockdock_agent.orders.engine_order import engine_body, engine_kind, order_key
from hemlockdock_agent.orders.held_replica import HeldReplica
from hemlockdock_agent.orders.holdings import Holdings
from hemlockdock_agent.orders.order_record import OrderPhase, OrderRecord
from hemlockdock_core.messages import (
    Inventory,
    LoadAdapterOrder,
    LoadOrder,
    OrderOutcome,
    OrderResult,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.settings.sections import FencingSetting

RESULT_REPEAT_MS = 500
MOST_RESULT_REPEATS = 40
MOST_RECORDS = 4_096
ASK_INTERVAL_MS = 100


class OrderGate:
    """Decide which orders go to the engine, when, and how they ended.

    Pure: takes events with the time, returns effects. Only orders that this gate returns may
    reach the engine.

    Parameters
    ----------
    settings : Settings
    incarnation : int
    now_ms : float

    Attributes
    ----------
    holdings : Holdings
    highest_fence : int
        Highest fence accepted in this incarnation.
    boot_id : str
        Of the engine, empty until its first inventory.
    lapsed : bool
        Whether the agent unloads everything because control has not heard from it.
    """

    def __init__(self, settings, incarnation, now_ms):
        self._settings = settings
        self._one_at_a_time = settings.agent.fencing is FencingSetting.IGNORED
        self._incarnation = incarnation
        # An order of the agent before this one may still be on its way to such an engine.
        wait_ms = settings.agent.order_timeout_ms if self._one_at_a_time else 0
        self._first_order_ms = now_ms + wait_ms
        self._record_by_key = {}
        self._engine_fence = 0
        self._asking = False
        self._next_ask_ms = now_ms
        self._cached_in_memory = []
        self._cached_on_disk = []
        self.holdings = Holdings(settings.agent.memory_mb)
        self.highest_fence = 0
        self.boot_id = ""
        self.lapsed = False

    @property
    def empty(self):
        """Tell whether nothing is held and no order is open."""
        return not self.holdings.replica_by_id and not self._open_records()

    def unloading(self, replica_id):
        """Tell whether a replica is to go.

        Parameters
        ----------
        replica_id : str

        Returns
        -------
        bool
        """
        for record in self._open_records():
            if isinstance(record.order, UnloadOrder) and record.order.replica_id == replica_id:
                return True
        return False

    def inventory(self):
        """Return the inventory for control.

        Returns
        -------
        Inventory
        """
        in_flight = [record.order.fence for record in self._open_records() if not record.by_agent]
        return Inventory(
            self.holdings.loaded_models(),
            self.highest_fence,
            self._cached_on_disk,
            self._cached_in_memory,
            in_flight,
        )

    def receive(self, order, now_ms):
        """Take an order from control; a repeat gets the result that there is.

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
        known = self._record_by_key.get(key)
        if known is not None:
            return [ReportResult(known.result)] if known.result is not None else []
        if order.fence < self.highest_fence:
            outcome = OrderOutcome.REFUSED_OLD_FENCE
            detail = f"fence {self.highest_fence} was seen"
            return [ReportResult(OrderResult(order.replica_id, order.fence, outcome, detail))]
        self.highest_fence = order.fence
        self._keep(OrderRecord(order, key, False, now_ms))
        return []

    def lapse(self, now_ms):
        """Unload everything, and obey nobody any more in this incarnation.

        Parameters
        ----------
        now_ms : float
        """
        self.lapsed = True
        for key, record in list(self._record_by_key.items()):
            if record.phase is OrderPhase.WAITING:
                del self._record_by_key[key]
        for replica_id in self.holdings.replica_by_id:
            order = UnloadOrder(replica_id, self._engine_fence, self._incarnation)
            self._keep(OrderRecord(order, ("lapse", replica_id), True, now_ms))

    def replied(self, key, reply, now_ms):
        """Take the engine's answer to an order, or that none came.

        Parameters
        ----------
        key : tuple
        reply : OrderReply
        now_ms : float

        Returns
        -------
        list of effect
        """
        record = self._record_by_key.get(key)
        if record is None or record.phase is not OrderPhase.SENT:
            return []
        if reply.outcome is None:
            record.phase = OrderPhase.UNANSWERED
            self.holdings.touch(record.order.replica_id)
            return []
        return self._end(record, reply.outcome, reply.detail, now_ms)

    def take_inventory(self, inventory, asked_at, now_ms):
        """Take what the engine reports.

        Parameters
        ----------
        inventory : EngineInventory or None
            None where no answer came.
        asked_at : int
            Count of changes when it was asked for.
        now_ms : float

        Returns
        -------
        list of effect
        """
        self._asking = False
        if inventory is None:
            return self._expire_unanswered(now_ms)
        effects = []
        first = self.boot_id == ""
        restarted = not first and inventory.boot_id != self.boot_id
        self.boot_id = inventory.boot_id
        if restarted:
            self._engine_fence = 0
            effects += self._engine_restarted(now_ms)
        self._engine_fence = max(self._engine_fence, inventory.highest_fence)
        for record in self._open_records():
            changed_at = self.holdings.changed_at_by_id.get(record.order.replica_id, 0)
            if record.phase is OrderPhase.UNANSWERED and changed_at <= asked_at:
                effects += self._settle(record.order, record, inventory, now_ms)
        open_ids = {record.order.replica_id for record in self._open_records()}
        changed = self.holdings.reconcile(inventory, asked_at, open_ids)
        caches = (inventory.cached_on_disk, inventory.cached_in_memory)
        changed |= caches != (self._cached_on_disk, self._cached_in_memory)
        self._cached_on_disk, self._cached_in_memory = caches
        if changed or first or restarted:
            effects.append(ReportInventory())
        return effects

    def advance(self, now_ms, is_busy):
        """Send what can go, ask what is not known, repeat what is not acknowledged.

        Parameters
        ----------
        now_ms : float
        is_busy : callable
            Takes a replica id; tells whether requests are in progress on it.

        Returns
        -------
        list of effect
        """
        effects = self._send_waiting(now_ms, is_busy)
        unanswered = any(
            record.phase is OrderPhase.UNANSWERED for record in self._record_by_key.values()
        )
        if (unanswered or not self.boot_id) and not self._asking and now_ms >= self._next_ask_ms:
            effects.append(self.ask(now_ms))
        for record in self._record_by_key.values():
            if record.acknowledged or record.result is None or now_ms < record.repeat_ms:
                continue
            record.repeat_ms = now_ms + RESULT_REPEAT_MS
            record.repeats += 1
            record.acknowledged = record.repeats >= MOST_RESULT_REPEATS
            effects.append(ReportResult(record.result))
        return effects

    def ask(self, now_ms):
        """Return the effect that asks for the inventory.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        AskInventory
        """
        self._asking = True
        self._next_ask_ms = now_ms + ASK_INTERVAL_MS
        return AskInventory(self.holdings.changes)

    def see_table(self, table):
        """Stop repeating results that the table shows.

        Parameters
        ----------
        table : RoutingTable
        """
        for record in self._record_by_key.values():
            if record.acknowledged or record.result is None:
                continue
            row = table.replica_by_id.get(record.order.replica_id)
            if row is None:
                # Not known yet, or gone already: only the latter follows an unload.
                record.acknowledged = record.repeats > 1
                continue
            record.acknowledged = shown(record.order, record.result.outcome, row)

    def _open_records(self):
        return [
            record
            for record in self._record_by_key.values()
            if record.phase is not OrderPhase.ENDED
        ]

    def _keep(self, record):
        self._record_by_key[record.key] = record
        if len(self._record_by_key) <= MOST_RECORDS:
            return
        for key, old in self._record_by_key.items():
            if old.phase is OrderPhase.ENDED:
                del self._record_by_key[key]
                return

    def _send_waiting(self, now_ms, is_busy):
        effects = []
        if not self.boot_id or now_ms < self._first_order_ms:
            return effects
        taken_ids = set()
        any_in_flight = any(record.in_flight for record in self._record_by_key.values())
        for record in self._open_records():
            replica_id = record.order.replica_id
            if record.in_flight or replica_id in taken_ids:
                # Orders for one replica are carried out in the order in which they came.
                taken_ids.add(replica_id)
                continue
            if self._one_at_a_time and any_in_flight:
                break
            if isinstance(record.order, UnloadOrder) and is_busy(replica_id):
                taken_ids.add(replica_id)
                continue
            refused = self._prepare(record.order, record)
            if refused is not None:
                effects += self._end(record, *refused, now_ms)
                continue
            taken_ids.add(replica_id)
            any_in_flight = True
            effects.append(self._send(record, now_ms))
        return effects

    def _send(self, record, now_ms):
        order = record.order
        self._engine_fence = max(self._engine_fence, order.fence)
        record.phase = OrderPhase.SENT
        record.sent_ms = now_ms
        record.sent_fence = self._engine_fence
        self.holdings.touch(order.replica_id)
        limit_ms = self._settings.agent.order_timeout_ms
        timeout_ms = min(getattr(order, "timeout_ms", 0) or limit_ms, limit_ms)
        body = engine_body(order, record.sent_fence)
        return SendOrder(record.key, engine_kind(order), body, timeout_ms)

    @singledispatchmethod
    def _prepare(self, order, record):
        """Reserve for an order; return (outcome, detail) where it need not or must not go."""
        raise TypeError(f"no order: {type(order).__name__}")

    @_prepare.register
    def _(self, order: LoadOrder, record):
        held = self.holdings.replica_by_id.get(order.replica_id)
        if held is not None:
            same = held.ready and held.fence == order.fence
            outcome = OrderOutcome.DONE if same else OrderOutcome.FAILED
            return outcome, "held already"
        if not self.holdings.fits(order.memory_mb):
            detail = f"{self.holdings.reserved_mb} MB are taken"
            return OrderOutcome.REFUSED_NO_MEMORY, detail
        self.holdings.replica_by_id[order.replica_id] = HeldReplica(
            order.replica_id,
            order.model,
            order.version,
            order.memory_mb,
            order.fence,
            order.requests_per_replica,
        )
        return None

    @_prepare.register
    def _(self, order: UnloadOrder, record):
        if order.replica_id not in self.holdings.replica_by_id:
            return OrderOutcome.DONE, "not held"
        return None

    @_prepare.register
    def _(self, order: LoadAdapterOrder, record):
        held = self.holdings.replica_by_id.get(order.replica_id)
        if held is None or not held.ready:
            return OrderOutcome.FAILED, "replica is not ready"
        if order.adapter in held.memory_by_adapter:
            return None
        if not self.holdings.fits(order.memory_mb):
            detail = f"{self.holdings.reserved_mb} MB are taken"
            return OrderOutcome.REFUSED_NO_MEMORY, detail
        held.memory_by_adapter[order.adapter] = order.memory_mb
        return None

    @_prepare.register
    def _(self, order: UnloadAdapterOrder, record):
        held = self.holdings.replica_by_id.get(order.replica_id)
        if held is None or order.adapter not in held.memory_by_adapter:
            return OrderOutcome.DONE, "not held"
        held.adapters.discard(order.adapter)
        return None

    def _end(self, record, outcome, detail, now_ms):
        self.holdings.touch(record.order.replica_id)
        was_sent = record.in_flight
        record.phase = OrderPhase.ENDED
        if outcome is OrderOutcome.DONE:
            self._apply(record.order)
        if record.by_agent:
            del self._record_by_key[record.key]
            return []
        took_ms = int(now_ms - record.sent_ms) if was_sent else 0
        order = record.order
        record.result = OrderResult(order.replica_id, order.fence, outcome, detail, took_ms)
        record.repeat_ms = now_ms + RESULT_REPEAT_MS
        return [ReportResult(record.result), ReportInventory()]

    @singledispatchmethod
    def _apply(self, order):
        raise TypeError(f"no order: {type(order).__name__}")

    @_apply.register
    def _(self, order: LoadOrder):
        self.holdings.replica_by_id[order.replica_id].ready = True

    @_apply.register
    def _(self, order: UnloadOrder):
        self.holdings.replica_by_id.pop(order.replica_id, None)

    @_apply.register
    def _(self, order: LoadAdapterOrder):
        self.holdings.replica_by_id[order.replica_id].adapters.add(order.adapter)

    @_apply.register
    def _(self, order: UnloadAdapterOrder):
        held = self.holdings.replica_by_id.get(order.replica_id)
        if held is not None:
            held.memory_by_adapter.pop(order.adapter, None)

    def _engine_restarted(self, now_ms):
        effects = []
        self.holdings.clear()
        for record in self._open_records():
            if not record.in_flight:
                continue
            unload = isinstance(record.order, UnloadOrder | UnloadAdapterOrder)
            outcome = OrderOutcome.DONE if unload else OrderOutcome.FAILED
            effects += self._end(record, outcome, "the engine restarted", now_ms)
        return effects

    @singledispatchmethod
    def _settle(self, order, record, inventory, now_ms):
        """Tell from an inventory how an order without an answer ended."""
        raise TypeError(f"no order: {type(order).__name__}")

    @_settle.register
    def _(self, order: LoadOrder, record, inventory, now_ms):
        item = _item(inventory, order.replica_id)
        if item is not None and item.ready:
            return self._end(record, OrderOutcome.DONE, "found in the inventory", now_ms)
        if item is None and not self._may_still_run(record, inventory, now_ms):
            return self._end(record, OrderOutcome.FAILED, "the answer was lost", now_ms)
        return self._expire(record, now_ms)

    @_settle.register
    def _(self, order: UnloadOrder, record, inventory, now_ms):
        if _item(inventory, order.replica_id) is None:
            return self._end(record, OrderOutcome.DONE, "not in the inventory", now_ms)
        return self._send_again(record, inventory, now_ms)

    @_settle.register
    def _(self, order: LoadAdapterOrder, record, inventory, now_ms):
        item = _item(inventory, order.replica_id)
        if self._may_still_run(record, inventory, now_ms):
            return []
        if item is not None and order.adapter in item.adapters:
            return self._end(record, OrderOutcome.DONE, "found in the inventory", now_ms)
        return self._end(record, OrderOutcome.FAILED, "the answer was lost", now_ms)

    @_settle.register
    def _(self, order: UnloadAdapterOrder, record, inventory, now_ms):
        item = _item(inventory, order.replica_id)
        if item is None or order.adapter not in item.adapters:
            return self._end(record, OrderOutcome.DONE, "not in the inventory", now_ms)
        return self._send_again(record, inventory, now_ms)

    def _send_again(self, record, inventory, now_ms):
        if not self._may_still_run(record, inventory, now_ms):
            record.phase = OrderPhase.WAITING
        return []

    def _may_still_run(self, record, inventory, now_ms):
        if record.sent_fence in inventory.orders_in_flight:
            return True
        waited_ms = now_ms - record.sent_ms
        return self._one_at_a_time and waited_ms < self._settings.agent.order_timeout_ms

    def _expire(self, record, now_ms):
        if now_ms - record.sent_ms < self._settings.agent.order_timeout_ms:
            return []
        return self._end(record, OrderOutcome.TIMED_OUT, "the engine gave no answer", now_ms)

    def _expire_unanswered(self, now_ms):
        effects = []
        for record in self._open_records():
            if record.phase is OrderPhase.UNANSWERED and isinstance(record.order, LoadOrder):
                effects += self._expire(record, now_ms)
        return effects


def _item(inventory, replica_id):
    for item in inventory.loaded:
        if item.replica_id == replica_id:
            return item
    return None
