"""Explain why a model is loaded or not."""

from hemlockdock_control.placement.retention import idle_since_ms
from hemlockdock_core.rows import ReplicaState


def explain_model(plan, model_name, retention):
    """Explain why a model is loaded or not.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    model_name : str
    retention : Retention

    Returns
    -------
    list of str
        One reason per line.
    """
    model = plan.view.model_by_name.get(model_name)
    if model is None:
        return [f"{model_name} is not in the manifest in force"]
    lines = [
        f"serves version {model.serve}; {plan.replica_count(model_name)} of at most "
        f"{model.most_replicas} replicas are decided"
    ]
    for replica in plan.replicas_by_model.get(model_name, ()):
        lines.append(_replica_line(plan, replica, retention))
    demand = plan.demand_by_model.get(model_name)
    if demand is not None:
        left_s = (demand.deadline_at_ms - plan.now_ms) / 1_000
        lines.append(f"{demand.waiting} requests wait; the first deadline is in {left_s:.1f} s")
    if not plan.replicas_by_model.get(model_name) and demand is None:
        lines.append("not loaded: no request waits, and none is expected that is worth holding it")
    version = model.version_by_name[model.serve]
    tier = plan.statistics.checkpoints.best_tier(model_name, model.serve)
    load_ms = plan.statistics.load_times.expected_ms(tier, version.checkpoint_mb)
    lines.append(f"a cold start takes about {load_ms / 1_000:.1f} s, from {tier.name.lower()}")
    return lines


def _replica_line(plan, replica, retention):
    line = f"replica {replica.replica_id} of version {replica.version} on {replica.node_id}: "
    endpoint = plan.view.endpoint_by_id.get(replica.node_id)
    if endpoint is not None and endpoint.lost:
        lost_s = (plan.now_ms - endpoint.lost_at_ms) / 1_000
        return f"{line}its host has been lost for {lost_s:.0f} s; it counts until it is certain"
    if replica.state is not ReplicaState.READY:
        age_s = (plan.now_ms - replica.decided_at_ms) / 1_000
        return f"{line}{replica.state.value}, decided {age_s:.0f} s ago"
    if replica.in_flight > 0:
        return f"{line}ready, serves {replica.in_flight} requests"
    idle_s = (plan.now_ms - idle_since_ms(plan, replica)) / 1_000
    retention_value = retention.retention_value(plan, replica)
    return f"{line}ready, idle for {idle_s:.0f} s; {retention_value.reason}"
