"""Decide the loads that waiting requests need."""

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.eviction import STARVED_MS
from hemlockdock_control.placement.hosts import Need, choose_endpoint
from hemlockdock_control.placement.urgency import by_urgency
from hemlockdock_core.rows import ReplicaState

SCALE_UP_AFTER_MS = 2_000


def wake(plan, eviction):
    """Decide the loads that waiting requests need, most urgent first.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    eviction : Eviction

    Returns
    -------
    int
        How many loads were needed but could not be decided.
    """
    lacking = [demand for demand in plan.demand_by_model.values() if _missing(plan, demand) > 0]
    unmet = 0
    for demand in by_urgency(plan, lacking):
        unmet += _wake_model(plan, demand, eviction)
    return unmet


def _wake_model(plan, demand, eviction):
    model = plan.view.model_by_name[demand.model]
    version = model.version_by_name[model.serve]
    missing = _missing(plan, demand)
    room = model.most_replicas - plan.count(model.name)
    if room <= 0:
        plan.reason_by_model[model.name] = "waits: its most replicas are decided already"
        return missing
    for done in range(min(missing, room)):
        if _is_store_bound(plan, model) and not plan.budget.has_room:
            plan.reason_by_model[model.name] = "waits: the weight store's limits are reached"
            return missing - done
        choice = _choose(plan, model, version, demand, eviction)
        if choice is None:
            plan.reason_by_model[model.name] = "waits: no endpoint has or can make room"
            return missing - done
        tier = checkpoint_tier(choice.endpoint, model.name, version.name)
        if tier is Tier.REMOTE and not plan.budget.has_room:
            plan.reason_by_model[model.name] = "waits: the weight store's limits are reached"
            return missing - done
        if not choice.must_wait:
            plan.load(model, version, choice.endpoint, f"{demand.waiting} requests wait")
            continue
        _make_room(plan, model, version, choice, _adapters_mb(plan, demand))
        if tier is Tier.REMOTE:
            # The slot is kept, so that room is made for no more models than can be loaded.
            plan.budget.take(plan.now_ms)
    return missing - min(missing, room)


def _make_room(plan, model, version, choice, adapters_mb):
    for victim in choice.victims:
        plan.unload(victim, f"makes room for {model.name}")
    node_id = choice.endpoint.node_id
    plan.claim(node_id, version.memory_mb + adapters_mb)
    plan.reason_by_model[model.name] = f"waits for unloads on {node_id}"


def _choose(plan, model, version, demand, eviction):
    need = Need(model, version, demand.deadline_at_ms, _adapters_mb(plan, demand))
    choice = choose_endpoint(plan, need, eviction.idle_on)
    if choice is not None or plan.now_ms - demand.since_ms < STARVED_MS:
        return choice
    victims_on = eviction.any_on(max(demand.priority, model.priority))
    return choose_endpoint(plan, need, victims_on)


def _adapters_mb(plan, demand):
    adapters = [plan.view.adapter_by_name.get(name) for name in demand.waiting_by_adapter]
    return sum(adapter.memory_mb for adapter in adapters if adapter is not None)


def _is_store_bound(plan, model):
    return plan.knowledge.checkpoints.best_tier(model.name, model.serve) is Tier.REMOTE


def _missing(plan, demand):
    # A second replica is wanted only once the first is ready and requests still wait, since
    # a burst may be over before another load ends; from there the count at most doubles.
    model = plan.view.model_by_name[demand.model]
    serving = plan.serving(model)
    ready = [replica for replica in serving if replica.state is ReplicaState.READY]
    if not serving:
        return 1
    if not ready or len(ready) < len(serving):
        return 0
    latest_ready_ms = max(replica.ready_at_ms for replica in ready)
    if plan.now_ms - max(latest_ready_ms, demand.since_ms) < SCALE_UP_AFTER_MS:
        return 0
    if any(_has_room(model, replica) for replica in ready):
        return 0
    load = demand.waiting + sum(replica.in_flight for replica in ready)
    wanted = min(-(-load // model.requests_per_replica), 2 * len(ready), model.most_replicas)
    return max(wanted - len(serving), 0)


def _has_room(model, replica):
    return replica.in_flight < model.requests_per_replica
