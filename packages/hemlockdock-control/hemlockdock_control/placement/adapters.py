"""Decide which adapters to load on which ready replicas."""

from hemlockdock_control.placement.eviction import STARVATION_MS
from hemlockdock_core.rows import ReplicaState


def load_adapters(plan, eviction):
    """Load the adapters that waiting requests need, and unload others where memory is short.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    eviction : Eviction
    """
    ordered = sorted(
        plan.demand_by_model.values(),
        key=lambda demand: (demand.deadline_at_ms, -demand.priority, demand.model),
    )
    for demand in ordered:
        for name in sorted(demand.waiting_by_adapter):
            adapter = plan.view.adapter_by_name.get(name)
            if adapter is None or adapter.model != demand.model:
                continue
            if plan.adapter_loads_left <= 0:
                plan.wait_reason_by_model[demand.model] = (
                    "waits: as many adapters as allowed are in flight"
                )
                return
            _load_adapter(plan, demand, adapter, eviction)


def _load_adapter(plan, demand, adapter, eviction):
    candidates = []
    for replica in plan.replicas_by_model.get(demand.model, ()):
        if replica.state is not ReplicaState.READY or not plan.is_usable(replica.node_id):
            continue
        if replica.replica_id in plan.unloading_ids:
            continue
        if adapter.name in replica.adapters or adapter.name in replica.adapters_loading:
            return
        if adapter.name in replica.adapters_unloading:
            continue
        candidates.append(replica)
    if not candidates:
        return
    candidates.sort(key=lambda replica: (replica.in_flight, replica.replica_id))
    for replica in candidates:
        if plan.free_mb(replica.node_id) >= adapter.memory_mb:
            plan.load_adapter(replica, adapter)
            return
    if not any(_frees_memory_soon(plan, replica, adapter) for replica in candidates):
        _free_memory(plan, demand, adapter, candidates, eviction)
    plan.wait_reason_by_model[demand.model] = f"waits: no memory for adapter {adapter.name}"


def _frees_memory_soon(plan, replica, adapter):
    # At most one unload at a time per endpoint. The freed memory appears in a later round.
    if replica.adapters_unloading:
        return True
    if any(replica_id == replica.replica_id for replica_id, _ in plan.adapter_unloads):
        return True
    return plan.pending_free_mb_by_node.get(replica.node_id, 0) >= adapter.memory_mb


def _free_memory(plan, demand, adapter, candidates, eviction):
    for replica in candidates:
        for name in sorted(replica.adapters):
            if name not in demand.waiting_by_adapter:
                plan.unload_adapter(replica, name)
                return
    list_victims = eviction.idle_victims
    if plan.now_ms - demand.since_ms >= STARVATION_MS:
        list_victims = eviction.all_victims(demand.priority)
    for replica in candidates:
        for victim, _ in list_victims(replica.node_id):
            if victim.model != demand.model:
                plan.unload(victim, f"makes room for adapter {adapter.name}")
                return
    # The replica is alone on its endpoint and still lacks memory, so it is unloaded: its next
    # load can go to an endpoint with more memory.
    if all(replica.in_flight == 0 for replica in candidates):
        plan.unload(candidates[0], f"no room for adapter {adapter.name}")
