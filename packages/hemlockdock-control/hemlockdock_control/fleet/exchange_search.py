"""Search a pool's engines for the cheapest exchange by which one of them gets a model."""

from dataclasses import dataclass

from hemlockdock_control.fleet.demand import AggregatedDemand
from hemlockdock_control.fleet.disk_cache import DiskUses
from hemlockdock_control.fleet.eviction import EngineMemory, EvictionCandidate, choose_evictions
from hemlockdock_control.fleet.model_copies import ModelCopies
from hemlockdock_control.fleet.model_exchange import ModelExchange
from hemlockdock_control.fleet.placement_history import PlacementHistory
from hemlockdock_control.fleet.store_admission import StoreAdmission
from hemlockdock_control.fleet.store_idleness import IdleReason
from hemlockdock_core.rows import ModelSpec, PoolRow

MS_PER_S = 1_000.0
# Additional duration of an exchange that evicts a model with requests in flight.
BUSY_VICTIM_DELAY_S = 1.5
# An engine that leaves loads a model only if it then takes requests for this long.
MIN_USE_S = 0.5
# An engine that takes few requests per second gets a model only if there is no other for it.
LIMITED_COST_S = 60.0


@dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """What is known of a pool in one placement round.

    Attributes
    ----------
    pool : PoolRow
    views : dict of str to EngineView
    copies : ModelCopies
        At engines that stay.
    history : PlacementHistory
    store : StoreAdmission
    now_s : float
    """

    pool: PoolRow
    views: dict
    copies: ModelCopies
    history: PlacementHistory
    store: StoreAdmission
    now_s: float


@dataclass(frozen=True, slots=True)
class WantedModel:
    """A model that some engine should get.

    Attributes
    ----------
    spec : ModelSpec
    use : AggregatedDemand or None
    gain : float
        Number of requests that the exchange serves.
    reason : str
    may_evict_busy : bool
        Whether a model with requests in flight may be evicted for it.
    may_use_store : bool
    is_fallback : bool
        Whether the store is used because the hosts with the weights can't load it.
    """

    spec: ModelSpec
    use: AggregatedDemand | None
    gain: float
    reason: str
    may_evict_busy: bool
    may_use_store: bool
    is_fallback: bool


@dataclass(frozen=True, slots=True)
class ExchangeCost:
    """What an exchange at one engine costs.

    Attributes
    ----------
    takes_s : float
    harm : float
        Number of requests that have to wait for what is evicted.
    blocked : float
        Number of requests that have to wait for the engine.
    """

    takes_s: float
    harm: float
    blocked: float


class ExchangeSearch:
    """Search the engines of a pool that are free.

    Parameters
    ----------
    snapshot : PoolSnapshot

    Attributes
    ----------
    resident_by_id : dict of str to set of str
        Models that the free engines are going to have, by endpoint id.
    """

    def __init__(self, snapshot):
        self._snapshot = snapshot
        self._spec_by_name = {model.name: model for model in snapshot.pool.engine.models}
        self._memory = EngineMemory(snapshot.pool.engine, self._spec_by_name)
        self._free_views = [view for view in snapshot.views.values() if view.is_free]
        # An engine gets one exchange at most, so that what it is going to have stays valid.
        self.resident_by_id = {view.endpoint_id: view.resident for view in self._free_views}
        holders = snapshot.copies.holders_by_name
        self._disk_uses = DiskUses(snapshot.pool.engine, self._spec_by_name, holders)

    def take(self, endpoint_id):
        """Leave an engine out, as an exchange was chosen for it.

        Parameters
        ----------
        endpoint_id : str
        """
        self._free_views = [view for view in self._free_views if view.endpoint_id != endpoint_id]

    def cheapest(self, wanted, costs, idleness):
        """Return the cheapest exchange that is worth it, or None.

        Parameters
        ----------
        wanted : WantedModel
        costs : ExchangeCosts
        idleness : StoreIdleness
            Told what held back a load from the store.

        Returns
        -------
        ModelExchange or None
        """
        best = None
        idle_reason = IdleReason.NO_FREE_ENGINE
        for view in self._free_views:
            if not self._may_load(view, wanted):
                continue
            source = view.weights_source(wanted.spec.name)
            victims = self._select_victims(view, wanted, costs)
            if victims is None:
                continue
            found = self._cost(view, wanted, victims, costs)
            if view.is_leaving and found.takes_s + MIN_USE_S > view.usable_s:
                continue
            if not _is_worth_it(found, wanted, source, self._snapshot.now_s):
                idle_reason = IdleReason.COST_EXCEEDS_BENEFIT
                continue
            cost = found.takes_s + found.harm + found.blocked
            if source == "store":
                # Getting a dropped copy back takes another load from the store.
                load_s = self._load_s(wanted.spec, source)
                cost += load_s * self._disk_uses.sole_copies_dropped(view, wanted.spec)
            if view.is_limited:
                cost += LIMITED_COST_S
            if best is None or cost < best[0]:
                rate = sum(costs.value(name) for name in victims)
                best = cost, ModelExchange(
                    view.endpoint_id,
                    wanted.spec,
                    victims,
                    source,
                    found.takes_s,
                    rate,
                    f"{wanted.reason}, harm {found.harm:.2f}",
                    wanted.is_fallback,
                )
        if best is None:
            if wanted.may_use_store:
                idleness.note(idle_reason)
            return None
        return best[1]

    def _may_load(self, view, wanted):
        """Tell whether an engine may load a model that it does not have, from where it can."""
        name = wanted.spec.name
        if name in self.resident_by_id[view.endpoint_id]:
            return False
        failures = self._snapshot.history.recent_failures
        if failures.contains(view.endpoint_id, name, self._snapshot.now_s):
            return False
        source = view.weights_source(name)
        if source == "store" and not wanted.may_use_store:
            return False
        return not view.is_leaving or self._may_load_where_it_leaves(wanted.spec, source)

    def _cost(self, view, wanted, victims, costs):
        source = view.weights_source(wanted.spec.name)
        load_s = self._load_s(wanted.spec, source)
        blocked_s = load_s if source == "store" else 0.0
        needed = [name for name in victims if not self._stays_elsewhere(view, name)]
        harm = sum(costs.harm(name, blocked_s) for name in needed)
        busy = any(costs.requests_per_copy(name) for name in victims)
        takes_s = load_s + (BUSY_VICTIM_DELAY_S if busy else 0.0)
        return ExchangeCost(takes_s, harm, takes_s * costs.blocked_rate(view, wanted.spec))

    def _may_load_where_it_leaves(self, spec, source):
        """Tell whether an engine that leaves may load a model: only if no other host has it."""
        copies = self._snapshot.copies
        is_loaded = copies.count_by_name.get(spec.name, 0) > 0
        return source != "store" and spec.name not in copies.holders_by_name and not is_loaded

    def _stays_elsewhere(self, view, name):
        """Tell whether an engine leaves whose model another engine has loaded."""
        return view.is_leaving and self._snapshot.copies.count_by_name.get(name, 0) > 0

    def _load_s(self, spec, source):
        if source == "memory":
            return spec.memory_load_ms / MS_PER_S
        if source == "disk":
            return spec.disk_load_ms / MS_PER_S
        return self._snapshot.store.load_s(spec)

    def _select_victims(self, view, wanted, costs):
        recent_loads = self._snapshot.history.recent_loads
        may_evict_busy = wanted.may_evict_busy
        if view.weights_source(wanted.spec.name) == "store":
            may_evict_busy = False
        resident = self.resident_by_id[view.endpoint_id]
        candidates = []
        for name in resident:
            if recent_loads.contains(view.endpoint_id, name, self._snapshot.now_s):
                continue
            is_busy = costs.requests_per_copy(name) > 0
            if is_busy and not may_evict_busy and not self._stays_elsewhere(view, name):
                continue
            required_mb = self._memory.required_mb(name)
            candidates.append(EvictionCandidate(is_busy, costs.value(name), name, required_mb))
        free_mb = self._memory.free_mb(resident)
        return choose_evictions(candidates, free_mb, self._memory.required_mb(wanted.spec.name))


def _is_worth_it(cost, wanted, source, now_s):
    benefit = wanted.gain
    if source != "store":
        return cost.harm <= benefit
    if wanted.use is not None:
        # The copy that the load leaves on the host serves further requests.
        benefit += wanted.use.lately_asked(now_s)
    return cost.harm <= benefit and cost.blocked <= benefit - cost.harm
