"""Order the pending loads by the deadlines of their waiting requests."""

import heapq
from dataclasses import dataclass

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.demand import Demand

AGING_LIMIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Describe one load that waiting requests need.

    Attributes
    ----------
    demand : Demand
    load_ms : int
    uses_store : bool
    """

    demand: Demand
    load_ms: int
    uses_store: bool

    @property
    def latest_start_ms(self):
        """Return the latest start at which the load still meets its deadline."""
        return self.demand.deadline_at_ms - self.load_ms


def order_by_urgency(plan, demands):
    """Order demands: aged ones first, then those that can meet their deadline, then the rest.

    Demands that can meet their deadline are ordered by latest start. Where the store cannot
    complete all of their loads in time, the load of lowest priority, and among equals the
    longest, is moved to the rest (after the Moore-Hodgson algorithm).

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    demands : iterable of Demand

    Returns
    -------
    list of Demand
    """
    aged = []
    loads = []
    for demand in demands:
        if plan.now_ms - demand.since_ms >= AGING_LIMIT_MS:
            aged.append(demand)
            continue
        loads.append(_pending_load(plan, demand))
    aged.sort(key=lambda demand: (-demand.priority, demand.since_ms, demand.model))
    loads.sort(key=lambda load: (load.latest_start_ms, -load.demand.priority, load.demand.model))
    late_loads = _remove_late_loads(plan, loads)
    late_loads.sort(
        key=lambda load: (-load.demand.priority, load.demand.since_ms, load.demand.model)
    )
    return aged + [load.demand for load in loads + late_loads]


def _pending_load(plan, demand):
    model = plan.view.model_by_name[demand.model]
    version = model.version_by_name[model.serve]
    tier = plan.statistics.checkpoints.best_tier(model.name, version.name)
    load_ms = plan.statistics.load_times.expected_ms(tier, version.checkpoint_mb)
    return PendingLoad(demand, load_ms, tier is Tier.REMOTE)


def _remove_late_loads(plan, loads):
    # Removes the loads that cannot meet their deadline from the list, and returns them.
    late_loads = []
    while True:
        late_index = _first_late_index(plan, loads)
        if late_index is None:
            return late_loads
        candidates = [load for load in loads[: late_index + 1] if load.uses_store]
        if not loads[late_index].uses_store or loads[late_index].latest_start_ms < plan.now_ms:
            candidates = [loads[late_index]]
        removed = min(candidates, key=lambda load: (load.demand.priority, -load.load_ms))
        loads.remove(removed)
        late_loads.append(removed)


def _first_late_index(plan, loads):
    slots = plan.budget.max_in_flight
    busy = min(plan.budget.in_flight, slots)
    free_at_ms = [plan.now_ms] * (slots - busy)
    # The progress of loads in flight is unknown; half of an average load is assumed left.
    average_ms = sum(load.load_ms for load in loads) / max(len(loads), 1)
    free_at_ms += [plan.now_ms + average_ms / 2] * busy
    heapq.heapify(free_at_ms)
    for index, load in enumerate(loads):
        start_ms = plan.now_ms
        if load.uses_store:
            start_ms = heapq.heappop(free_at_ms)
            heapq.heappush(free_at_ms, start_ms + load.load_ms)
        if start_ms > load.latest_start_ms:
            return index
    return None
