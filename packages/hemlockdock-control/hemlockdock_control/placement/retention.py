"""Decide which idle replicas are worth holding."""

from dataclasses import dataclass

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_core.rows import ReplicaState

SHORTEST_STAY_MS = 10_000
EXTRA_STAY_MS = 120_000
GRACE_MS = 1_000
FIRST_RECHECK_MS = 5_000
LONGEST_RECHECK_MS = 60_000
RECHECK_PART = 0.15
UNLOAD_MS = 1_000
LOAD_COST_MS = 10_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold what holding an idle replica is worth, until it is looked at again.

    Attributes
    ----------
    gain_ms : float
        Worth of holding it, in milliseconds of an idle accelerator; not kept at 0 or less.
    reason : str
    idle_since_ms : int
    until_ms : int
    """

    gain_ms: float
    reason: str
    idle_since_ms: int
    until_ms: int


class Retention:
    """Decide which idle replicas are worth holding.

    A replica is held while, for some time ahead, the worth of the cold start that holding
    avoids, times its chance, is above the price of holding.
    """

    def __init__(self):
        self._verdict_by_id = {}

    def verdict(self, plan, replica):
        """Return what holding an idle replica is worth.

        Parameters
        ----------
        plan : hemlockdock_control.placement.round.Round
        replica : ReplicaView

        Returns
        -------
        Verdict
        """
        since_ms = idle_since_ms(plan, replica)
        known = self._verdict_by_id.get(replica.replica_id)
        if known and known.idle_since_ms == since_ms and plan.now_ms < known.until_ms:
            return known
        gain_ms, reason = self._gain(plan, replica, since_ms)
        recheck_ms = RECHECK_PART * (plan.now_ms - since_ms)
        recheck_ms = min(max(recheck_ms, FIRST_RECHECK_MS), LONGEST_RECHECK_MS)
        verdict = Verdict(gain_ms, reason, since_ms, plan.now_ms + round(recheck_ms))
        self._verdict_by_id[replica.replica_id] = verdict
        return verdict

    def drop_idle(self, plan):
        """Decide the unloads of idle replicas that are not worth holding.

        Parameters
        ----------
        plan : hemlockdock_control.placement.round.Round
        """
        if plan.now_ms - plan.knowledge.first_round_ms < GRACE_MS:
            return
        self._forget(plan)
        for replica in plan.view.replica_by_id.values():
            if replica.state is not ReplicaState.READY or replica.in_flight > 0:
                continue
            if replica.model in plan.demand_by_model or replica.replica_id in plan.unloading_ids:
                continue
            if self._has_to_stay(plan, replica):
                continue
            if self._is_extra(plan, replica):
                if plan.now_ms - idle_since_ms(plan, replica) >= EXTRA_STAY_MS:
                    plan.unload(replica, "idle, and another replica is ready")
                continue
            verdict = self.verdict(plan, replica)
            if verdict.gain_ms <= 0.0:
                plan.unload(replica, f"idle: {verdict.reason}")

    def _gain(self, plan, replica, since_ms):
        model = plan.view.model_by_name.get(replica.model)
        if model is None or replica.version not in model.version_by_name:
            return 0.0, "not in the manifest"
        wait_ms = self._wait_ms(plan, replica, model.version_by_name[replica.version])
        worth_ms = priority_part(model) * plan.prices.cold_start_ms(wait_ms)
        # Loading again holds an accelerator too, and serves nothing meanwhile.
        worth_ms += plan.prices.hold_price * (wait_ms + UNLOAD_MS + LOAD_COST_MS)
        outlooks = plan.knowledge.arrivals.outlooks(
            replica.model, since_ms, plan.now_ms, worth_ms, plan.prices.hold_price
        )
        best = max(outlooks, key=lambda outlook: outlook.gain_ms)
        reason = (
            f"by {best.source}, {best.chance:.0%} chance of a request within "
            f"{best.within_ms / 1_000:.0f} s; a cold start takes {wait_ms / 1_000:.0f} s, "
            f"holding gains {best.gain_ms / 1_000:.0f} s"
        )
        return best.gain_ms, reason

    def _wait_ms(self, plan, replica, version):
        endpoint = plan.view.endpoint_by_id.get(replica.node_id)
        tier = plan.knowledge.checkpoints.best_tier(replica.model, replica.version)
        if tier is Tier.REMOTE and endpoint is not None:
            tier = checkpoint_tier(endpoint, replica.model, replica.version)
        return plan.knowledge.load_times.expected_ms(tier, version.checkpoint_mb)

    def _has_to_stay(self, plan, replica):
        if plan.now_ms - replica.ready_at_ms >= SHORTEST_STAY_MS:
            return False
        return not plan.knowledge.is_primed(replica)

    def _is_extra(self, plan, replica):
        model = plan.view.model_by_name.get(replica.model)
        if model is None:
            return False
        for other in plan.serving(model):
            if other.state is ReplicaState.READY and other.replica_id != replica.replica_id:
                return True
        return False

    def _forget(self, plan):
        if len(self._verdict_by_id) <= 2 * len(plan.view.replica_by_id) + 16:
            return
        kept = plan.view.replica_by_id
        self._verdict_by_id = {k: v for k, v in self._verdict_by_id.items() if k in kept}


def idle_since_ms(plan, replica):
    """Return since when a replica is known to serve nothing.

    A new leader does not know when a replica last served; it starts from its first round.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    replica : ReplicaView

    Returns
    -------
    int
    """
    if replica.last_used_ms > 0:
        return max(replica.last_used_ms, replica.ready_at_ms)
    return max(replica.ready_at_ms, plan.knowledge.first_round_ms)


def priority_part(model):
    """Return how much a model's cold starts weigh, 1 for a priority of 50.

    Parameters
    ----------
    model : ModelView

    Returns
    -------
    float
    """
    return 0.5 + model.priority / 100.0
