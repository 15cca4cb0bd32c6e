"""Decide which idle replicas to keep loaded."""

from dataclasses import dataclass

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_core.rows import ReplicaState

MIN_RESIDENCY_MS = 10_000
EXTRA_REPLICA_HOLD_MS = 120_000
STARTUP_GRACE_MS = 1_000
MIN_RECHECK_MS = 5_000
MAX_RECHECK_MS = 60_000
RECHECK_FRACTION = 0.15
UNLOAD_MS = 1_000
LOAD_COST_MS = 10_000


@dataclass(frozen=True, slots=True)
class RetentionValue:
    """Hold the value of keeping an idle replica loaded, valid until the next evaluation.

    Attributes
    ----------
    gain_ms : float
        Gain of keeping it, in milliseconds of idle accelerator time. It is unloaded at 0 or
        less.
    reason : str
    idle_since_ms : int
    until_ms : int
    """

    gain_ms: float
    reason: str
    idle_since_ms: int
    until_ms: int


class Retention:
    """Decide which idle replicas to keep loaded.

    A replica is kept while, for some horizon, the cost of the avoided cold start times the
    probability of a request exceeds the expected cost of keeping the replica idle.
    """

    def __init__(self):
        self._retention_value_by_id = {}

    def retention_value(self, plan, replica):
        """Return the value of keeping an idle replica loaded.

        Parameters
        ----------
        plan : hemlockdock_control.placement.plan.Plan
        replica : ReplicaView

        Returns
        -------
        RetentionValue
        """
        since_ms = idle_since_ms(plan, replica)
        cached = self._retention_value_by_id.get(replica.replica_id)
        if cached and cached.idle_since_ms == since_ms and plan.now_ms < cached.until_ms:
            return cached
        gain_ms, reason = self._holding_gain(plan, replica, since_ms)
        recheck_ms = RECHECK_FRACTION * (plan.now_ms - since_ms)
        recheck_ms = min(max(recheck_ms, MIN_RECHECK_MS), MAX_RECHECK_MS)
        retention_value = RetentionValue(gain_ms, reason, since_ms, plan.now_ms + round(recheck_ms))
        self._retention_value_by_id[replica.replica_id] = retention_value
        return retention_value

    def unload_idle(self, plan):
        """Unload the idle replicas that are not worth keeping.

        Parameters
        ----------
        plan : hemlockdock_control.placement.plan.Plan
        """
        if plan.now_ms - plan.statistics.first_round_ms < STARTUP_GRACE_MS:
            return
        self._prune(plan)
        for replica in plan.view.replica_by_id.values():
            if replica.state is not ReplicaState.READY or replica.in_flight > 0:
                continue
            if replica.model in plan.demand_by_model or replica.replica_id in plan.unloading_ids:
                continue
            if self._has_to_stay(plan, replica):
                continue
            if self._is_extra(plan, replica):
                if plan.now_ms - idle_since_ms(plan, replica) >= EXTRA_REPLICA_HOLD_MS:
                    plan.unload(replica, "idle, and another replica is ready")
                continue
            retention_value = self.retention_value(plan, replica)
            if retention_value.gain_ms <= 0.0:
                plan.unload(replica, f"idle: {retention_value.reason}")

    def _holding_gain(self, plan, replica, since_ms):
        model = plan.view.model_by_name.get(replica.model)
        if model is None or replica.version not in model.version_by_name:
            return 0.0, "not in the manifest"
        wait_ms = self._cold_start_ms(plan, replica, model.version_by_name[replica.version])
        avoided_cost_ms = priority_weight(model) * plan.cost_model.cold_start_cost_ms(wait_ms)
        # A reload also occupies an accelerator while it serves nothing.
        avoided_cost_ms += plan.cost_model.hold_cost * (wait_ms + UNLOAD_MS + LOAD_COST_MS)
        forecasts = plan.statistics.arrivals.forecasts(
            replica.model, since_ms, plan.now_ms, avoided_cost_ms, plan.cost_model.hold_cost
        )
        best = max(forecasts, key=lambda forecast: forecast.gain_ms)
        reason = (
            f"by {best.source}, {best.probability:.0%} chance of a request within "
            f"{best.horizon_ms / 1_000:.0f} s; a cold start takes {wait_ms / 1_000:.0f} s, "
            f"holding gains {best.gain_ms / 1_000:.0f} s"
        )
        return best.gain_ms, reason

    def _cold_start_ms(self, plan, replica, version):
        endpoint = plan.view.endpoint_by_id.get(replica.node_id)
        tier = plan.statistics.checkpoints.best_tier(replica.model, replica.version)
        if tier is Tier.REMOTE and endpoint is not None:
            tier = checkpoint_tier(endpoint, replica.model, replica.version)
        return plan.statistics.load_times.expected_ms(tier, version.checkpoint_mb)

    def _has_to_stay(self, plan, replica):
        if plan.now_ms - replica.ready_at_ms >= MIN_RESIDENCY_MS:
            return False
        return not plan.statistics.is_prefetch(replica)

    def _is_extra(self, plan, replica):
        model = plan.view.model_by_name.get(replica.model)
        if model is None:
            return False
        for other in plan.served_replicas(model):
            if other.state is ReplicaState.READY and other.replica_id != replica.replica_id:
                return True
        return False

    def _prune(self, plan):
        if len(self._retention_value_by_id) <= 2 * len(plan.view.replica_by_id) + 16:
            return
        kept = plan.view.replica_by_id
        self._retention_value_by_id = {
            k: v for k, v in self._retention_value_by_id.items() if k in kept
        }


def idle_since_ms(plan, replica):
    """Return the time since which a replica is known to be idle.

    A new leader does not know when a replica last served a request, so it counts from its
    first planning round.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    replica : ReplicaView

    Returns
    -------
    int
    """
    if replica.last_used_ms > 0:
        return max(replica.last_used_ms, replica.ready_at_ms)
    return max(replica.ready_at_ms, plan.statistics.first_round_ms)


def priority_weight(model):
    """Return the weight of a model's cold starts; 1 for a priority of 50.

    Parameters
    ----------
    model : ModelView

    Returns
    -------
    float
    """
    return 0.5 + model.priority / 100.0
