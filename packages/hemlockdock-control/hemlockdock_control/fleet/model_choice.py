"""Choose which models are exchanged, from one moment's view of a pool's engines.

It answers a load in which some models are asked for all the time, and most now and then: those
take turns in the engines' remaining room. An exchange of a model whose weights lie on the host
takes a fraction of a second, one from the weight store takes seconds, in which the engine can
exchange nothing else.
"""

from dataclasses import dataclass

# Loads for models that few ask for leave room for one that many wait for.
STORE_LOADS_KEPT_FOR_MANY = 1
MANY_REQUESTS = 4.0
# Beyond full speed all loads take longer; a model that so many wait for is worth it.
VERY_MANY_REQUESTS = 12.0
STORE_LOADS_FOR_VERY_MANY = 1.5
# Demand may move to any model; one that a single host has can then be had nowhere else.
ONLY_HOLDER_RATE_PER_S = 0.1
# Part of a model's requests that wait while its engine takes no orders for adapters.
ADAPTER_SHARE = 0.3
MS_PER_S = 1_000.0
# Copies that one more is added to when more requests than this run on each.
CROWDED_RUNS = 22
# Time over which a model's place is reckoned to be of use to it.
HORIZON_S = 2.0
# Requests that waited for this long while the hosts of its weights had no room.
STORE_INSTEAD_AFTER_S = 1.0
# Requests that waited for longer may also displace a model that still runs some.
LONG_WAIT_S = 4.0
MANY_WAIT_S = 1.2
# From a model's arrival to the first event of an answer.
FIRST_EVENT_S = 0.15
BUSY_VICTIM_S = 1.5
# Rate of models that were loaded before anybody asked for one, until rates are known.
PRIOR_RATE_PER_S = 0.3
PRIOR_FOR_S = 4.0
# From a decision to the entries' knowing of it.
NOTICE_S = 0.3
# A model that has another copy is missed only until requests have moved there.
SPARE_COPY_S = 0.1
# A copy that was fetched from the store is reckoned to be of use for this long.
LASTING_S = 12.0
EARLY_GAIN = 20.0
# Before it is known how much the store carries, a store that carries one load is taken for this
# long at most: others will be asked for, and stand behind what was begun.
UNKNOWN_STORE_S = 12.0
# What a model is worth more than another before it displaces it with nobody waiting.
GAIN_MARGIN_PER_S = 0.2


@dataclass(frozen=True, slots=True)
class Choice:
    """Hold one exchange.

    Attributes
    ----------
    endpoint_id : str
    model : ModelSpec
    unload : tuple of str
    source : str
        Where the weights come from: ``memory``, ``disk`` or ``store``.
    takes_s : float
    unload_rate_per_s : float
        Requests for the models that make room.
    reason : str
    """

    endpoint_id: str
    model: object
    unload: tuple
    source: str
    takes_s: float
    unload_rate_per_s: float
    reason: str


class ModelChoice:
    """Choose exchanges of models for one pool at one moment.

    Parameters
    ----------
    pool : PoolRow
    views : dict of str to EngineView
    demand : DemandBoard
    memory : PlacementMemory
    now_s : float
    """

    def __init__(self, pool, views, demand, memory, now_s):
        self._engine = pool.engine
        self._views = views
        self._memory = memory
        self._now_s = now_s
        self._spec_by_name = {model.name: model for model in pool.engine.models}
        self._use_by_name = {}
        for name in self._spec_by_name:
            self._use_by_name[name] = demand.use_by_model.get((pool.name, name))
        self._is_early = demand.is_early(now_s, PRIOR_FOR_S)
        self._copies_by_name = {}
        self._at_hand = set()
        self._store_loads = 0
        self._free = []
        for view in views.values():
            for name in view.resident:
                self._copies_by_name[name] = self._copies_by_name.get(name, 0) + 1
            self._at_hand |= view.report.on_host
            if view.pending is not None and view.pending.source == "store":
                self._store_loads += 1
            if view.pending is None and view.changing:
                # Another leader had it begun, maybe from the store.
                self._store_loads += 1
            if view.is_free:
                self._free.append(view)

    def choices(self):
        """Yield the exchanges to make now, each at another endpoint."""
        for spec, use in self._awaited():
            choice = self._for_waiting(spec, use)
            if choice is not None:
                self._take(choice)
                yield choice
        for spec, excess in self._crowded():
            choice = self._best(spec, excess, False, "crowded")
            if choice is not None:
                self._take(choice)
                yield choice
        choice = self._ahead()
        if choice is not None:
            yield choice

    def _awaited(self):
        """Return the models that requests wait for, in the order in which they get their turn.

        Those whose first target can still be met come first, the more urgent before others and
        then by that target: more of them are met so than in any other order. The others have
        only their deadlines, and wait for room.
        """
        awaited = []
        for name, use in self._use_by_name.items():
            if use is None or self._copies_by_name.get(name, 0):
                continue
            wanted = use.waiting + use.returning
            if not wanted:
                continue
            target_s = use.first_target_s(self._now_s + self._quickest_s(name))
            if target_s is not None:
                awaited.append((0, use.urgency, target_s, name))
            else:
                awaited.append((1, use.urgency, -wanted, name))
        awaited.sort()
        for _, _, _, name in awaited:
            yield self._spec_by_name[name], self._use_by_name[name]

    def _quickest_s(self, name):
        spec = self._spec_by_name[name]
        load_ms = spec.disk_load_ms if name in self._at_hand else spec.store_load_ms
        return load_ms / MS_PER_S + FIRST_EVENT_S

    def _crowded(self):
        for name, use in self._use_by_name.items():
            copies = self._copies_by_name.get(name, 0)
            if use is None or not copies:
                continue
            excess = use.in_flight - copies * CROWDED_RUNS
            if excess > 0:
                yield self._spec_by_name[name], excess

    def _for_waiting(self, spec, use):
        reason = f"{use.waiting} waiting, {use.returning} returning"
        gain = use.waiting + use.returning + use.rate_now(self._now_s) * HORIZON_S
        waited_s = self._now_s - use.waiting_since_s
        limit_s = MANY_WAIT_S if use.waiting >= MANY_REQUESTS else LONG_WAIT_S
        choice = self._best(spec, gain, waited_s >= limit_s, reason)
        if choice is not None or spec.name not in self._at_hand:
            return choice
        if use.waiting < MANY_REQUESTS or waited_s < STORE_INSTEAD_AFTER_S:
            return None
        # The hosts that have its weights are taken by what is worth as much.
        return self._best(spec, gain, False, reason, from_store=True)

    def _best(self, spec, gain, may_displace_busy, reason, from_store=False):
        best = None
        for view in self._free:
            if spec.name in view.resident:
                continue
            if self._memory.failures.has(view.endpoint_id, spec.name, self._now_s):
                continue
            source, load_s = self._load_time(view, spec)
            if source == "store" and not self._may_use_store(spec, gain, from_store):
                continue
            victims = self._victims(view, spec, may_displace_busy and source != "store")
            if victims is None:
                continue
            harm = sum(self._harm(name) for name in victims)
            busy = any(self._runs(name) for name in victims)
            takes_s = load_s + (BUSY_VICTIM_S if busy else 0.0)
            blocked = takes_s * self._blocked_rate(view, spec)
            if harm > gain:
                continue
            if source == "store" and blocked > gain - harm + self._lasting_gain(spec):
                continue
            cost = takes_s + harm + blocked
            if best is None or cost < best[0]:
                why = f"{reason}, harm {harm:.2f}"
                rate = sum(self._value(name) for name in victims)
                best = cost, Choice(view.endpoint_id, spec, victims, source, takes_s, rate, why)
        return None if best is None else best[1]

    def _harm(self, name):
        """Return the requests that the loss of one copy would make wait."""
        value = self._value(name)
        copies = self._copies_by_name.get(name, 1)
        use = self._use_by_name.get(name)
        if copies > 1:
            return value * SPARE_COPY_S
        waiting = 0 if use is None else use.waiting
        return value * (HORIZON_S + self._quickest_s(name) + NOTICE_S) + waiting

    def _lasting_gain(self, spec):
        """Return the later requests that a copy on some host serves sooner."""
        use = self._use_by_name.get(spec.name)
        return 0.0 if use is None else use.rate_now(self._now_s) * LASTING_S

    def _blocked_rate(self, view, spec):
        """Return the requests a second that wait while an engine can't exchange models."""
        rate = 0.0
        for name in view.report.on_host:
            if name == spec.name or self._copies_by_name.get(name, 0):
                continue
            holders = sum(1 for other in self._views.values() if other.has_at_hand(name))
            if holders == 1:
                rate += ONLY_HOLDER_RATE_PER_S
            use = self._use_by_name.get(name)
            if use is not None:
                rate += use.rate_now(self._now_s) / max(1, holders)
        for name in view.resident:
            known = self._spec_by_name.get(name)
            if known is not None and known.adapters:
                rate += self._value(name) * ADAPTER_SHARE
        return rate

    def _may_use_store(self, spec, gain, from_store):
        # An engine that has the weights at hand is mostly free long before the store's load ends.
        if spec.name in self._at_hand and not from_store:
            return False
        store = self._memory.store
        at_once = store.at_once
        if not store.is_known and gain < VERY_MANY_REQUESTS:
            at_once = min(at_once, _carried_by_any(spec))
        most = max(1, at_once - STORE_LOADS_KEPT_FOR_MANY)
        if gain >= MANY_REQUESTS:
            most = at_once
        if gain >= VERY_MANY_REQUESTS and store.is_known:
            most = int(at_once * STORE_LOADS_FOR_VERY_MANY)
        return self._store_loads < most

    def _ahead(self):
        """Return an exchange that nobody waits for yet, or None.

        Little is fetched so from the store: it may carry one load only, and nobody knows which
        models will be asked for.
        """
        if not self._memory.is_settled(self._now_s):
            return None
        if self._memory.may_fetch_ahead(self._now_s) and self._is_early:
            for name, spec in self._spec_by_name.items():
                if self._store_loads >= _carried_by_any(spec):
                    continue
                if name in self._at_hand or self._copies_by_name.get(name, 0):
                    continue
                choice = self._best(spec, EARLY_GAIN, False, "no copy anywhere")
                if choice is not None:
                    return choice
        for name, spec in self._spec_by_name.items():
            value = self._value(name)
            if self._copies_by_name.get(name, 0) or value <= GAIN_MARGIN_PER_S:
                continue
            choice = self._best(spec, value - GAIN_MARGIN_PER_S, False, "worth more")
            if choice is not None:
                return choice
        return None

    def _take(self, choice):
        self._free = [view for view in self._free if view.endpoint_id != choice.endpoint_id]
        self._copies_by_name[choice.model.name] = self._copies_by_name.get(choice.model.name, 0) + 1
        for name in choice.unload:
            self._copies_by_name[name] -= 1
        if choice.source == "store":
            self._store_loads += 1

    def _load_time(self, view, spec):
        if spec.name in view.report.in_host_memory:
            return "memory", spec.memory_load_ms / MS_PER_S
        if spec.name in view.report.on_host_disk:
            return "disk", spec.disk_load_ms / MS_PER_S
        crowding = max(1.0, (self._store_loads + 1) / self._memory.store.at_once)
        return "store", crowding * spec.store_load_ms / MS_PER_S

    def _victims(self, view, spec, may_displace_busy):
        need_mb = self._need_mb(spec.name)
        free_mb = self._engine.weights_mb - sum(self._need_mb(name) for name in view.resident)
        candidates = []
        for name in view.resident:
            if self._memory.loads.has(view.endpoint_id, name, self._now_s):
                continue
            busy = self._runs(name) > 0
            if busy and not may_displace_busy:
                continue
            candidates.append((busy, self._value(name), name))
        candidates.sort()
        victims = []
        for _, _, name in candidates:
            if free_mb >= need_mb:
                break
            victims.append(name)
            free_mb += self._need_mb(name)
        if free_mb < need_mb:
            return None
        # A small model that was chosen first may not be needed after a large one.
        for name in list(victims):
            if free_mb - self._need_mb(name) >= need_mb:
                victims.remove(name)
                free_mb -= self._need_mb(name)
        return tuple(victims)

    def _need_mb(self, name):
        spec = self._spec_by_name.get(name)
        if spec is None:
            # A model that the manifest no longer has takes an unknown part.
            return self._engine.weights_mb
        adapters = min(spec.adapters, self._engine.adapter_slots)
        return spec.weights_mb + spec.adapter_mb * adapters

    def _value(self, name):
        """Return the requests a second that one copy serves."""
        use = self._use_by_name.get(name)
        if use is None or use.rate_now(self._now_s) <= 0.0:
            was_first = self._is_early and self._memory.was_first(name)
            return PRIOR_RATE_PER_S if was_first else 0.0
        return use.rate_now(self._now_s) / max(1, self._copies_by_name.get(name, 1))

    def _runs(self, name):
        use = self._use_by_name.get(name)
        if use is None:
            return 0
        return use.in_flight // max(1, self._copies_by_name.get(name, 1))


def _carried_by_any(spec):
    """Return how many loads of a model may be begun at a store that is not known."""
    return max(1, int(UNKNOWN_STORE_S * MS_PER_S / max(1, spec.store_load_ms)))
