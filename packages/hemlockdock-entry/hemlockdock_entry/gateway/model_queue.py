"""Queue requests for models, and dispatch them to endpoints that have the model loaded."""

import logging

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import DemandReport
from hemlockdock_entry.gateway.adapter_tracker import AdapterTracker
from hemlockdock_entry.gateway.continuation import may_run_at
from hemlockdock_entry.gateway.customer_shares import CustomerShares
from hemlockdock_entry.gateway.local_demand import LocalDemand
from hemlockdock_entry.gateway.model_availability import ModelAvailability
from hemlockdock_entry.gateway.unservable_requests import UnservableRequests

logger = logging.getLogger(__name__)

REPORT_DELAY_S = 0.004
REPORT_REPEAT_S = 0.25
# Fraction of an endpoint's slots that one entry uses while it does not know what others use.
MAX_SLOT_SHARE = 0.6
HIGHEST_URGENCY_RANK = 0


class ModelQueue:
    """Queue requests by model, dispatch them, and report the demand to the leader.

    Parameters
    ----------
    gateway : Gateway
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._demand_by_model = {}
        self._changed_keys = set()
        self._report_call = None
        self._adapters = AdapterTracker(gateway, self._on_adapter_settled)
        self._last_report_s = 0.0
        self._supply = ModelAvailability()
        self._unservable = UnservableRequests(gateway, self._supply, gateway.priority_policy)
        self._shares = CustomerShares(gateway.headers)

    def enqueue(self, exchange):
        """Queue a request until an endpoint can run it.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        if exchange.pool.engine.model(exchange.model) is None:
            # No state is kept for model names that no engine knows.
            refusal = Refusal.of(ErrorKind.NO_CAPACITY, "no engine of the pool has this model")
            exchange.refuse(refusal)
            return
        use = self._local_demand(exchange)
        if not exchange.was_queued:
            exchange.was_queued = True
            use.record_arrival(self._gateway.clock.seconds())
            self._shares.add(exchange)
        use.waiting.append(exchange)
        self._mark_changed(use)
        self._dispatch_pool(use.pool)
        if use.waiting:
            self._dispatch_model(use)

    def resume(self, exchange):
        """Dispatch a waiting request that has waited for a permit.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        use = self._local_demand(exchange)
        if exchange in use.waiting:
            self._dispatch(use, [exchange])

    def dequeue(self, exchange):
        """Remove a request from the queue if it is waiting.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        if not exchange.was_queued:
            return
        use = self._local_demand(exchange)
        if exchange in use.waiting:
            use.waiting.remove(exchange)
            self._mark_changed(use)
        if self._adapters.remove_waiting(exchange):
            self._release_reservation(exchange)

    def request_finished(self, exchange):
        """Record the end of a request's attempt, and dispatch waiting requests.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        use = self._local_demand(exchange)
        use.in_flight -= 1
        self._mark_changed(use)
        if self._orders_pool(use.pool):
            self._gateway.clock.callLater(0, self._dispatch_pool, use.pool)
        elif use.waiting:
            self._gateway.clock.callLater(0, self._dispatch_model, use)

    def table_changed(self):
        """Update model availability, and dispatch or refuse waiting requests."""
        self._supply.update(self._gateway.endpoint_rows(), self._gateway.clock.seconds())
        self._adapters.remove_absent()
        self._dispatch_all()

    def check_waiting(self):
        """Dispatch waiting requests, and refuse those that can't be served in time."""
        self._dispatch_all()
        for exchange in self._adapters.waiting_exchanges():
            self._unservable.refuse(self._local_demand(exchange), [exchange])

    def refuse_all(self, refusal):
        """Refuse all waiting requests.

        Parameters
        ----------
        refusal : Refusal
        """
        for use in self._demand_by_model.values():
            for exchange in list(use.waiting):
                exchange.refuse(refusal)
        for exchange in self._adapters.waiting_exchanges():
            exchange.refuse(refusal)

    def on_adapter_held(self, message):
        """Process an agent's report on an adapter.

        Parameters
        ----------
        message : AdapterHeld
        """
        self._adapters.record_adapter_held(message)

    def repeat_report(self):
        """Report all active demand to the leader again, because reports may be lost."""
        now_s = self._gateway.clock.seconds()
        if now_s - self._last_report_s < REPORT_REPEAT_S:
            return
        for key, use in self._demand_by_model.items():
            if use.is_active(now_s):
                self._changed_keys.add(key)
        if self._changed_keys:
            self._send_report()

    def _local_demand(self, exchange):
        key = (exchange.pool.name, exchange.model)
        use = self._demand_by_model.get(key)
        if use is None:
            use = LocalDemand(*key)
            self._demand_by_model[key] = use
        return use

    def _dispatch_all(self):
        """Dispatch the pools of customers in one order each, then what is left of each model.

        The second step also refuses requests that the first did not try, if they can't be served.
        """
        for pool in self._shares.pools:
            self._dispatch_pool(pool)
        for use in self._demand_by_model.values():
            if use.waiting:
                self._dispatch_model(use)

    def _dispatch_pool(self, pool):
        """Dispatch the requests of all models of a pool in one order, if the pool has one.

        It has one once a customer's request was queued for it, and while the entry has the loads of
        endpoints. A model's requests behind one that found no endpoint are not tried.
        """
        if not self._orders_pool(pool):
            return
        exchanges = []
        for use in self._demand_by_model.values():
            if use.pool == pool and use.waiting:
                exchanges.extend(self._dispatchable(use))
        self._shares.sort(pool, exchanges)
        full = set()
        for exchange in exchanges:
            use = self._local_demand(exchange)
            if exchange not in use.waiting or use.model in full:
                continue
            self._dispatch(use, [exchange])
            if exchange in use.waiting and exchange.binding.origin is None:
                full.add(use.model)

    def _orders_pool(self, pool):
        if self._shares.has_queue(pool):
            return True
        return self._gateway.load_view.has_recent_summary(self._gateway.clock.seconds())

    def _dispatch_model(self, use):
        """Dispatch the requests of one model, or refuse those that can't be served in time."""
        self._shares.sort(use.pool, use.waiting)
        self._dispatch(use, self._dispatchable(use))

    def _dispatchable(self, use):
        if self._gateway.selection.has_unlimited(use.pool, use.model):
            return use.waiting
        # Nothing changes for those that wait for a permit.
        return [item for item in use.waiting if not item.waits_for_permit]

    def _dispatch(self, use, exchanges):
        unplaced = []
        is_full = False
        selection = self._gateway.selection
        for exchange in list(exchanges):
            if exchange.refuse_unsendable():
                continue
            # A stream that needs a certain software version doesn't hold up those behind it.
            row = None if is_full else selection.admit(exchange, self._choose)
            if row is None and exchange.waits_for_permit:
                continue
            if row is None:
                unplaced.append(exchange)
                is_full = is_full or exchange.binding.origin is None
                continue
            if exchange not in use.waiting:
                continue
            use.waiting.remove(exchange)
            use.in_flight += 1
            self._mark_changed(use)
            self._shares.record_dispatch(exchange)
            self._send(exchange, row)
        if unplaced:
            self._unservable.refuse(use, unplaced)

    def _choose(self, exchange):
        gateway = self._gateway
        balancer = gateway.selection.balancer
        now_s = gateway.clock.seconds()
        max_in_flight = max(2, int(exchange.pool.engine.slots * MAX_SLOT_SHARE))
        may_preempt = exchange.urgency_rank == HIGHEST_URGENCY_RANK
        usable = []
        for row in gateway.selection.usable(exchange):
            if not row.has_model(exchange.model) or not may_run_at(exchange.binding.origin, row):
                continue
            health = gateway.health.for_endpoint(row.endpoint_id)
            has_room = balancer.has_room(row, max_in_flight, now_s, may_preempt)
            if has_room and health.full_until_s <= now_s:
                usable.append(row)
        usable = gateway.priority_policy.endpoints_after_yielding(
            exchange, usable, self._demand_by_model.values()
        )
        # One that is about to leave gets what no other endpoint can take.
        usable = [row for row in usable if not row.retiring] or usable
        usable = gateway.selection.unconfirmed_or_all(usable)
        preferred_ids = frozenset()
        if exchange.adapter:
            preferred_ids = self._endpoints_with_adapter(exchange, usable)
        apart = gateway.quarantine.runs_apart(exchange)
        row = balancer.choose(usable, now_s, exchange.tried_ids, preferred_ids, apart)
        if row is None and exchange.tried_ids:
            row = balancer.choose(usable, now_s, frozenset(), preferred_ids, apart)
        return row

    def _endpoints_with_adapter(self, exchange, rows):
        held = [row.endpoint_id for row in rows if self._adapters.is_held(exchange, row)]
        return frozenset(held)

    def _send(self, exchange, row):
        if not exchange.adapter:
            exchange.send_to(row)
            return
        self._adapters.request_adapter(exchange, row)
        if self._adapters.is_held(exchange, row):
            exchange.send_to(row)
            return
        self._gateway.health.for_endpoint(row.endpoint_id).in_flight += 1
        self._adapters.add_waiting(exchange, row)

    def _release_reservation(self, exchange):
        """Release the slot that was reserved for a request while it waited for an adapter."""
        self._gateway.health.for_endpoint(exchange.reserved_endpoint_id).in_flight -= 1
        use = self._local_demand(exchange)
        use.in_flight -= 1
        self._mark_changed(use)

    def _on_adapter_settled(self, exchange, held):
        row = self._gateway.endpoint_row(exchange.reserved_endpoint_id)
        may_send = self._gateway.gate.may_send(exchange.reserved_endpoint_id, exchange.wish.permit)
        may_send = may_send and self._gateway.stop_schedule.allows(exchange)
        if held and not exchange.ended and may_send:
            # From here on, send_to() counts the request as in flight at the endpoint.
            self._gateway.health.for_endpoint(row.endpoint_id).in_flight -= 1
            exchange.send_to(row)
            return
        self._release_reservation(exchange)
        if not exchange.ended:
            exchange.tried_ids.discard(exchange.reserved_endpoint_id)
            self.enqueue(exchange)

    def _mark_changed(self, use):
        self._changed_keys.add((use.pool, use.model))
        if self._report_call is None:
            self._report_call = self._gateway.clock.callLater(REPORT_DELAY_S, self._report_due)

    def _report_due(self):
        self._report_call = None
        self._send_report()

    def _send_report(self):
        now_s = self._gateway.clock.seconds()
        demands = tuple(self._demand_by_model[key].demand(now_s) for key in self._changed_keys)
        self._changed_keys = set()
        self._last_report_s = now_s
        self._gateway.send_to_leader(DemandReport(demands))
