"""Policy that chooses which models to exchange, from a snapshot of a pool's engines.

It is designed for a load in which a few models are requested continuously and most only now and
then, so that the latter take turns in the remaining weight memory of the engines. Loading a model
whose weights are on the host takes a fraction of a second. Loading one from the weight store takes
seconds, during which the engine cannot exchange any other model.
"""

from dataclasses import replace

from hemlockdock_control.fleet.exchange_costs import HORIZON_S, ExchangeCosts
from hemlockdock_control.fleet.exchange_search import ExchangeSearch, PoolSnapshot, WantedModel
from hemlockdock_control.fleet.load_order import AwaitedModel, load_order
from hemlockdock_control.fleet.model_copies import LONGEST_PATIENCE_S, ModelCopies
from hemlockdock_control.fleet.store_admission import HIGH_DEMAND_REQUESTS, StoreAdmission
from hemlockdock_control.fleet.store_idleness import IdleReason, StoreIdleness

# A model is loaded from the store once its requests have waited this long although some host has
# its weights: none of those hosts had an engine with room. Where the load outlasts the patience of
# those who wait, it has to serve later ones, and hosts get as long as it takes.
STORE_FALLBACK_AFTER_S = 1.0
# A model that only the store has is loaded for this many requests lately, though none waits.
MIN_LATELY_ASKED = 1.0
# Requests that have waited this long may also evict a model with requests in flight; the shorter
# limit applies to models in high demand.
BUSY_EVICTION_WAIT_S = 4.0
HIGH_DEMAND_BUSY_EVICTION_WAIT_S = 1.2
PRIOR_RATE_PERIOD_S = 4.0
PREFETCH_GAIN = 20.0
# Minimum advantage in request rate for which one model replaces another without waiting requests.
RATE_MARGIN_PER_S = 0.2


class ModelChoice:
    """Choose exchanges of models for one pool in one placement round.

    Parameters
    ----------
    pool : PoolRow
    views : dict of str to EngineView
    demand : DemandAggregator
    history : PlacementHistory
    now_s : float

    Attributes
    ----------
    costs : ExchangeCosts
    store : StoreAdmission
    store_idleness : StoreIdleness
    """

    costs_type = ExchangeCosts

    def __init__(self, pool, views, demand, history, now_s):
        loading = [*views.values(), *history.unavailable, *history.silent]
        lost_ends_s = history.lost_loads.planned_ends_s()
        self.store = StoreAdmission(history.store, loading, lost_ends_s, history.store_reserve)
        leaving_names = frozenset().union(*history.last_copies.values())
        history.store_reserve.observe(leaving_names, not self.store.active_loads, now_s)
        self.store_idleness = StoreIdleness()
        self._history = history
        self._now_s = now_s
        self._spec_by_name = {model.name: model for model in pool.engine.models}
        self._use_by_name = {}
        for name in self._spec_by_name:
            self._use_by_name[name] = demand.demand_by_model.get((pool.name, name))
        self._has_requests = demand.has_requests
        staying = [view for view in views.values() if not view.is_leaving]
        leaving = [view for view in views.values() if view.is_leaving]
        self._copies = ModelCopies(staying, now_s, history.silent)
        self._leaving_names = frozenset().union(*(view.report.on_host for view in leaving))
        self._copies_by_name = self._copies.count_by_name
        self._search = ExchangeSearch(
            PoolSnapshot(pool, views, self._copies, history, self.store, now_s)
        )
        is_early = demand.is_early(now_s, PRIOR_RATE_PERIOD_S)
        self.costs = self.costs_type(
            self._spec_by_name,
            self._use_by_name,
            self._copies,
            self._search.resident_by_id,
            history.initial_models if is_early else frozenset(),
            now_s,
        )

    def choices(self):
        """Yield the exchanges to start now, at most one per endpoint."""
        for item in self._awaited():
            choice = self._exchange_for_waiting(item)
            if choice is not None:
                self._apply(choice)
                yield choice
        for spec, excess in self._crowded():
            choice = self._cheapest_exchange(spec, excess, False, "crowded")
            if choice is not None:
                self._apply(choice)
                yield choice
        choice = self._ahead()
        if choice is not None:
            yield choice

    def absent_models(self):
        """Return the names of the models that neither an engine nor a host has or is to have."""
        present = self._copies.holders_by_name.keys() | self._copies.coming_from_store
        return [name for name in self._spec_by_name if name not in present]

    def _awaited(self):
        """Return the models that lack copies and that clients ask for, in the order of loading."""
        awaited = []
        for name, use in self._use_by_name.items():
            if use is None or not self._copies.lacks(name, use, self._now_s):
                continue
            is_on_host = name in self._copies.holders_by_name
            if not self._is_awaited(name, use, is_on_host):
                continue
            event_s = self._now_s + self.costs.fastest_first_event_s(name)
            item = AwaitedModel(self._spec_by_name[name], use, is_on_host, event_s)
            awaited.append(item)
            if is_on_host and self._may_fall_back(item):
                awaited.append(replace(item, is_fallback=True))
        return load_order(awaited, self._now_s)

    def _is_awaited(self, name, use, is_on_host):
        if use.waiting or use.returning:
            return True
        if use.in_flight and name in self._leaving_names:
            return True
        # Nobody waits for a load that outlasts all patience: it serves those who ask later.
        return not is_on_host and use.lately_asked(self._now_s) >= MIN_LATELY_ASKED

    def _may_fall_back(self, item):
        """Tell whether the store may deliver a model that hosts have, but cannot load."""
        if item.use.waiting < HIGH_DEMAND_REQUESTS:
            return False
        load_s = self.store.load_s(item.spec)
        fallback_after_s = load_s if load_s > LONGEST_PATIENCE_S else STORE_FALLBACK_AFTER_S
        return self._now_s - item.use.waiting_since_s >= fallback_after_s

    def _crowded(self):
        for name, excess in self._copies.crowded(self._use_by_name):
            yield self._spec_by_name[name], excess

    def _exchange_for_waiting(self, item):
        spec, use = item.spec, item.use
        reason = self._demand_text(use)
        gain = use.waiting + use.returning + use.rate_now(self._now_s) * HORIZON_S
        if item.is_fallback:
            return self._fallback_exchange(item, gain, reason)
        waited_s = self._now_s - use.waiting_since_s
        is_in_demand = use.waiting >= HIGH_DEMAND_REQUESTS
        limit_s = HIGH_DEMAND_BUSY_EVICTION_WAIT_S if is_in_demand else BUSY_EVICTION_WAIT_S
        return self._cheapest_exchange(spec, gain, waited_s >= limit_s, reason)

    def _fallback_exchange(self, item, gain, reason):
        spec = item.spec
        if not self._copies.lacks(spec.name, item.use, self._now_s):
            return None
        if self._cheapest_exchange(spec, gain, True, reason) is not None:
            # A host is going to load it, at the expense of a model with requests in flight.
            return None
        # The engines on the hosts with its weights hold models of at least the same value.
        return self._cheapest_exchange(spec, gain, False, reason, from_store=True)

    def _demand_text(self, use):
        lately = use.lately_asked(self._now_s)
        rate = use.rate_now(self._now_s)
        waiting = f"{use.waiting} waiting, {use.returning} returning"
        return f"{waiting}, {lately:.1f} asked lately, {rate:.1f} per s"

    def _cheapest_exchange(self, spec, gain, may_evict_busy, reason, from_store=False):
        may_use_store = spec.name not in self._copies.coming_from_store and self._may_use_store(
            spec, gain, from_store
        )
        names = self._copies.holders_by_name.keys() | self._leaving_names
        if not may_use_store and spec.name not in names:
            return None
        use = self._use_by_name[spec.name]
        wanted = WantedModel(spec, use, gain, reason, may_evict_busy, may_use_store, from_store)
        return self._search.cheapest(wanted, self.costs, self.store_idleness)

    def _may_use_store(self, spec, gain, from_store):
        # An engine on a host with the weights usually becomes idle long before a store load ends.
        is_on_host = spec.name in self._copies.holders_by_name
        if not from_store:
            if is_on_host:
                return False
            if self._history.may_return(spec, self._now_s):
                self.store_idleness.note(IdleReason.HOST_MAY_RETURN)
                return False
        use = self._use_by_name[spec.name]
        asked = max(gain, 0.0 if use is None else use.lately_asked(self._now_s))
        is_partial = self._has_requests and not self._history.knows_demand
        if is_partial and asked < HIGH_DEMAND_REQUESTS:
            self.store_idleness.note(IdleReason.DEMAND_UNKNOWN)
            return False
        if self.store.is_reserved(spec, asked, self._now_s):
            self.store_idleness.note(IdleReason.LAST_COPIES_LEAVE)
            return False
        return self.store.may_start(spec, gain, self._now_s)

    def _ahead(self):
        """Return a speculative exchange that no request waits for yet, or None.

        Few models are prefetched from the store: it may support a single load at a time, and it
        is unknown which models will be requested.
        """
        if self._history.may_prefetch(self._now_s) and not self._has_requests:
            choice = self._prefetch()
            if choice is not None:
                return choice
        if not self._history.is_settled(self._now_s):
            return None
        absent = [name for name in self._spec_by_name if not self._copies_by_name.get(name, 0)]
        absent.sort(key=self.costs.value, reverse=True)
        for name in absent:
            spec = self._spec_by_name[name]
            value = self.costs.value(name)
            if value <= RATE_MARGIN_PER_S:
                return None
            choice = self._cheapest_exchange(spec, value - RATE_MARGIN_PER_S, False, "worth more")
            if choice is not None:
                return choice
        return None

    def _prefetch(self):
        # With a model come its adapters, each of which some clients ask for.
        for spec in sorted(self._spec_by_name.values(), key=lambda spec: -spec.adapters):
            if not self.store.may_prefetch(spec):
                continue
            if spec.name in self._history.on_reported_hosts:
                continue
            if spec.name in self._copies.coming_from_store:
                continue
            choice = self._cheapest_exchange(spec, PREFETCH_GAIN, False, "no copy anywhere")
            if choice is not None:
                return choice
        return None

    def _apply(self, choice):
        self._search.take(choice.endpoint_id)
        self._copies.apply(choice)
        if choice.source == "store":
            self.store.record_start(self._now_s + choice.takes_s)
