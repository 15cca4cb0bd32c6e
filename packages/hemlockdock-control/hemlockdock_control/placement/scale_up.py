"""Load the replicas that waiting requests need."""

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.endpoint_choice import LoadRequirements, choose_endpoint
from hemlockdock_control.placement.eviction import STARVATION_MS
from hemlockdock_control.placement.urgency import order_by_urgency
from hemlockdock_core.rows import ReplicaState

SCALE_UP_DELAY_MS = 2_000


def scale_up(plan, eviction):
    """Load the replicas that waiting requests need, most urgent first.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    eviction : Eviction

    Returns
    -------
    int
        Number of needed loads that could not be started.
    """
    underprovisioned = [
        demand for demand in plan.demand_by_model.values() if _missing_replicas(plan, demand) > 0
    ]
    unmet = 0
    for demand in order_by_urgency(plan, underprovisioned):
        unmet += _scale_up_model(plan, demand, eviction)
    return unmet


def _scale_up_model(plan, demand, eviction):
    model = plan.view.model_by_name[demand.model]
    version = model.version_by_name[model.serve]
    missing = _missing_replicas(plan, demand)
    replicas_left = model.most_replicas - plan.replica_count(model.name)
    if replicas_left <= 0:
        plan.wait_reason_by_model[model.name] = "waits: its most replicas are decided already"
        return missing
    for started in range(min(missing, replicas_left)):
        if _is_store_bound(plan, model) and not plan.budget.has_capacity:
            plan.wait_reason_by_model[model.name] = "waits: the weight store's limits are reached"
            return missing - started
        choice = _choose(plan, model, version, demand, eviction)
        if choice is None:
            plan.wait_reason_by_model[model.name] = "waits: no endpoint has or can make room"
            return missing - started
        tier = checkpoint_tier(choice.endpoint, model.name, version.name)
        if tier is Tier.REMOTE and not plan.budget.has_capacity:
            plan.wait_reason_by_model[model.name] = "waits: the weight store's limits are reached"
            return missing - started
        if not choice.waits_for_unloads:
            plan.load(model, version, choice.endpoint, f"{demand.waiting} requests wait")
            continue
        _evict_victims(plan, model, version, choice, _adapters_mb(plan, demand))
        if tier is Tier.REMOTE:
            # Reserves a slot, so that no more replicas are evicted than can be loaded for.
            plan.budget.acquire(plan.now_ms)
    return missing - min(missing, replicas_left)


def _evict_victims(plan, model, version, choice, adapters_mb):
    for victim in choice.victims:
        plan.unload(victim, f"makes room for {model.name}")
    node_id = choice.endpoint.node_id
    plan.reserve_memory(node_id, version.memory_mb + adapters_mb)
    plan.wait_reason_by_model[model.name] = f"waits for unloads on {node_id}"


def _choose(plan, model, version, demand, eviction):
    requirements = LoadRequirements(
        model, version, demand.deadline_at_ms, _adapters_mb(plan, demand)
    )
    choice = choose_endpoint(plan, requirements, eviction.idle_victims)
    if choice is not None or plan.now_ms - demand.since_ms < STARVATION_MS:
        return choice
    list_victims = eviction.all_victims(max(demand.priority, model.priority))
    return choose_endpoint(plan, requirements, list_victims)


def _adapters_mb(plan, demand):
    adapters = [plan.view.adapter_by_name.get(name) for name in demand.waiting_by_adapter]
    return sum(adapter.memory_mb for adapter in adapters if adapter is not None)


def _is_store_bound(plan, model):
    return plan.statistics.checkpoints.best_tier(model.name, model.serve) is Tier.REMOTE


def _missing_replicas(plan, demand):
    # Another replica is added only once all are ready and requests still wait, since a burst
    # may be over before another load completes. Each step at most doubles the replica count.
    model = plan.view.model_by_name[demand.model]
    serving = plan.served_replicas(model)
    ready = [replica for replica in serving if replica.state is ReplicaState.READY]
    if not serving:
        return 1
    if not ready or len(ready) < len(serving):
        return 0
    latest_ready_ms = max(replica.ready_at_ms for replica in ready)
    if plan.now_ms - max(latest_ready_ms, demand.since_ms) < SCALE_UP_DELAY_MS:
        return 0
    if any(_has_free_slot(model, replica) for replica in ready):
        return 0
    load = demand.waiting + sum(replica.in_flight for replica in ready)
    wanted = min(-(-load // model.requests_per_replica), 2 * len(ready), model.most_replicas)
    return max(wanted - len(serving), 0)


def _has_free_slot(model, replica):
    return replica.in_flight < model.requests_per_replica
