"""Detect loads that hang."""

from hemlockdock_control.loading import Tier
from hemlockdock_core.rows import ReplicaState

MIN_HANG_TIMEOUT_MS = 20_000
HANG_TIMEOUT_FACTOR = 4
SLOW_STORE_TIMEOUT_FACTOR = 16


def unload_hung(plan):
    """Unload replicas whose load takes far longer than expected.

    If no load that started later from the weight store has completed, the store itself may be
    slow. Such a load gets a longer timeout, since a restart would only add to the congestion.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    """
    for replica in plan.view.replica_by_id.values():
        if replica.state is not ReplicaState.LOADING or replica.replica_id in plan.unloading_ids:
            continue
        if plan.now_ms - replica.decided_at_ms < MIN_HANG_TIMEOUT_MS:
            continue
        if plan.now_ms - replica.decided_at_ms < hang_timeout_ms(plan, replica):
            continue
        plan.unload(replica, "load hangs")
        plan.statistics.record_failure(replica.model, replica.node_id, plan.now_ms)


def hang_timeout_ms(plan, replica):
    """Return the time after which a load counts as hung, in milliseconds.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    replica : ReplicaView

    Returns
    -------
    int
    """
    model = plan.view.model_by_name.get(replica.model)
    version = model.version_by_name.get(replica.version) if model else None
    if version is None:
        return MIN_HANG_TIMEOUT_MS
    load_times = plan.statistics.load_times
    expected_ms = load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
    later_load_completed = load_times.latest_completed_start_ms(Tier.REMOTE) > replica.decided_at_ms
    factor = HANG_TIMEOUT_FACTOR if later_load_completed else SLOW_STORE_TIMEOUT_FACTOR
    return max(factor * expected_ms, MIN_HANG_TIMEOUT_MS)
