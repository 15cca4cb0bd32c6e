"""Unload or replace replicas that the manifest or their endpoints no longer allow."""

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.endpoint_choice import LoadRequirements, choose_endpoint
from hemlockdock_core.rows import ReplicaState


def unload_unwanted(plan):
    """Unload replicas of unknown models or versions, on leaving endpoints or above the limit.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    """
    for replica in plan.view.replica_by_id.values():
        if replica.state is ReplicaState.UNLOADING:
            continue
        model = plan.view.model_by_name.get(replica.model)
        if model is None or replica.version not in model.version_by_name:
            plan.unload(replica, "not in the manifest")
            continue
        endpoint = plan.view.endpoint_by_id.get(replica.node_id)
        if endpoint is not None and endpoint.leaving and not endpoint.lost:
            plan.unload(replica, "endpoint leaving")
    _unload_surplus(plan)


def replace_versions(plan, unmet):
    """Load the served version next to an old one, then unload the old one.

    At most one model at a time changes its version, and only while no request waits for a
    load, so that a new manifest causes no burst of loads.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    unmet : int
        Number of loads that waiting requests still need.
    """
    replacing = 0
    for name in sorted(plan.replicas_by_model):
        model = plan.view.model_by_name.get(name)
        old = _old_replicas(plan, model) if model else []
        if not old:
            continue
        serving = plan.served_replicas(model)
        if any(replica.state is ReplicaState.READY for replica in serving):
            for replica in old:
                plan.unload(replica, "version replaced")
            continue
        if serving or plan.load_commands_by_model.get(name):
            replacing += 1
            continue
        if _must_unload_first(plan, model):
            plan.unload(old[0], "version replaced; no room to warm the new one beside it")
            continue
        if unmet > 0 or replacing > 0 or not plan.budget.is_lightly_loaded:
            continue
        replacing += _load_new_version(plan, model, old)


def _old_replicas(plan, model):
    old = []
    for replica in plan.replicas_by_model[model.name]:
        if replica.version != model.serve and replica.replica_id not in plan.unloading_ids:
            old.append(replica)
    return sorted(old, key=lambda replica: (replica.in_flight, replica.replica_id))


def _must_unload_first(plan, model):
    # Waits for an unload in progress before unloading another replica.
    if plan.replica_count(model.name) < model.most_replicas:
        return False
    replicas = plan.replicas_by_model[model.name]
    return not any(replica.replica_id in plan.unloading_ids for replica in replicas)


def _load_new_version(plan, model, old):
    if all(replica.in_flight == 0 for replica in old) and len(old) == 1:
        idle = old[0]
        if plan.now_ms - max(
            idle.last_used_ms, idle.ready_at_ms
        ) >= plan.cost_model.cold_start_cost_ms(
            plan.statistics.load_times.expected_ms(
                Tier.REMOTE, model.version_by_name[model.serve].checkpoint_mb
            )
        ):
            plan.unload(idle, "version replaced; idle for too long to warm the new one")
            return 0
    version = model.version_by_name[model.serve]
    choice = choose_endpoint(plan, LoadRequirements(model, version), lambda node_id: [])
    if choice is None or choice.waits_for_unloads:
        plan.unload(old[0], "version replaced; no memory to warm the new one beside it")
        return 0
    plan.load(model, version, choice.endpoint, "warms the new version")
    return 1


def _unload_surplus(plan):
    # Applies when a new manifest lowers the limit. Replicas that are not ready, then those
    # with the fewest requests, are unloaded first.
    for name, replicas in plan.replicas_by_model.items():
        model = plan.view.model_by_name.get(name)
        if model is None or len(replicas) <= model.most_replicas:
            continue
        remaining = [r for r in replicas if r.replica_id not in plan.unloading_ids]
        surplus = len(remaining) - model.most_replicas
        remaining.sort(key=lambda r: (r.state is ReplicaState.READY, r.in_flight, r.replica_id))
        for replica in remaining[: max(surplus, 0)]:
            plan.unload(replica, "above the model's most replicas")
