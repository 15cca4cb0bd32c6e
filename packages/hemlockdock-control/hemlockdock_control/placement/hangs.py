"""Notice loads that do not end."""

from hemlockdock_control.loading import Tier
from hemlockdock_core.rows import ReplicaState

SHORTEST_HANG_MS = 20_000
HANG_FACTOR = 4
SLOW_STORE_FACTOR = 16


def drop_hung(plan):
    """Decide the unloads of loads that take far longer than expected.

    Where no load of the same tier ended since, the tier itself may be slow: such a load is
    left more time, since starting it again would only add to the congestion.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    """
    for replica in plan.view.replica_by_id.values():
        if replica.state is not ReplicaState.LOADING or replica.replica_id in plan.unloading_ids:
            continue
        if plan.now_ms - replica.decided_at_ms < SHORTEST_HANG_MS:
            continue
        if plan.now_ms - replica.decided_at_ms < hang_ms(plan, replica):
            continue
        plan.unload(replica, "load hangs")
        plan.knowledge.add_failure(replica.model, replica.node_id, plan.now_ms)


def hang_ms(plan, replica):
    """Return after what time a load is taken to hang.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    replica : ReplicaView

    Returns
    -------
    int
    """
    model = plan.view.model_by_name.get(replica.model)
    version = model.version_by_name.get(replica.version) if model else None
    if version is None:
        return SHORTEST_HANG_MS
    load_times = plan.knowledge.load_times
    expected_ms = load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
    others_end = load_times.last_start_ended_ms(Tier.REMOTE) > replica.decided_at_ms
    factor = HANG_FACTOR if others_end else SLOW_STORE_FACTOR
    return max(factor * expected_ms, SHORTEST_HANG_MS)
