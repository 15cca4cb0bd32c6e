"""Decide which adapters go onto which ready replicas."""

from hemlockdock_core.rows import ReplicaState


def load_adapters(plan):
    """Decide the adapters that waiting requests need.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
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
            if plan.adapter_room <= 0:
                plan.reason_by_model[demand.model] = "waits: adapters in flight are at most"
                return
            _load_adapter(plan, demand, adapter)


def _load_adapter(plan, demand, adapter):
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
    _make_room(plan, demand, candidates)
    plan.reason_by_model[demand.model] = f"waits: no memory for adapter {adapter.name}"


def _make_room(plan, demand, candidates):
    # One unload at a time on an endpoint; the freed memory is seen in a later round.
    for replica in candidates:
        if replica.adapters_unloading:
            return
        for name in sorted(replica.adapters):
            if name not in demand.waiting_by_adapter:
                plan.unload_adapter(replica, name)
                return
