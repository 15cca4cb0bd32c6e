"""Decide loads ahead of requests, where arrivals justify them."""

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.hosts import Need, choose_endpoint
from hemlockdock_control.placement.retention import GRACE_MS, UNLOAD_MS, priority_part

CHECK_MS = 60_000
PRIME_AGAIN_MS = 12 * 3_600_000


class Ahead:
    """Decide loads ahead of requests.

    Two kinds: a model whose session is expected is warmed; a checkpoint that no usable host
    has on disk or in memory is loaded once and let go, so that its next cold start is short.
    """

    def __init__(self):
        self._next_ms = 0
        self._sessions_seen = 0

    def load(self, plan):
        """Decide loads ahead of requests; only in memory that is free.

        Parameters
        ----------
        plan : hemlockdock_control.placement.round.Round
        """
        if plan.now_ms - plan.knowledge.first_round_ms < GRACE_MS or not plan.budget.is_quiet:
            return
        sessions = plan.knowledge.arrivals.session_count
        if plan.now_ms < self._next_ms and sessions == self._sessions_seen:
            return
        self._next_ms = plan.now_ms + CHECK_MS
        self._sessions_seen = sessions
        self._warm(plan)
        self._prime(plan)

    def _warm(self, plan):
        candidates = []
        for model in plan.view.model_by_name.values():
            if plan.replicas_by_model.get(model.name) or model.name in plan.demand_by_model:
                continue
            outlook = self._outlook(plan, model)
            if outlook is not None:
                candidates.append((-outlook.gain_ms, model.name, outlook))
        for _, name, outlook in sorted(candidates, key=lambda item: item[:2]):
            reason = f"ahead: by {outlook.source}, {outlook.chance:.0%} within "
            reason += f"{outlook.within_ms / 1_000:.0f} s"
            self._load(plan, plan.view.model_by_name[name], reason)

    def _outlook(self, plan, model):
        version = model.version_by_name[model.serve]
        tier = plan.knowledge.checkpoints.best_tier(model.name, version.name)
        load_ms = plan.knowledge.load_times.expected_ms(tier, version.checkpoint_mb)
        worth_ms = priority_part(model) * plan.prices.cold_start_ms(load_ms)
        hold_price = plan.prices.hold_price
        outlooks = plan.knowledge.arrivals.start_outlooks(
            model.name, plan.now_ms, worth_ms, hold_price, load_ms + CHECK_MS
        )
        cost_ms = hold_price * (load_ms + UNLOAD_MS)
        outlooks = [outlook for outlook in outlooks if outlook.gain_ms > cost_ms]
        if not outlooks:
            return None
        return max(outlooks, key=lambda outlook: outlook.gain_ms)

    def _prime(self, plan):
        if not plan.budget.is_idle or plan.demand_by_model:
            return
        best = None
        for model in plan.view.model_by_name.values():
            gain_ms = self._prime_gain_ms(plan, model)
            if gain_ms > 0.0 and (best is None or gain_ms > best[0]):
                best = (gain_ms, model)
        if best is None:
            return
        if self._load(plan, best[1], "ahead: puts the checkpoint on a disk", for_disk=True):
            plan.knowledge.primed_at_ms[best[1].name] = plan.now_ms

    def _prime_gain_ms(self, plan, model):
        if plan.replicas_by_model.get(model.name) or plan.decided_by_model.get(model.name):
            return 0.0
        if plan.knowledge.checkpoints.best_tier(model.name, model.serve) is not Tier.REMOTE:
            return 0.0
        last_ms = plan.knowledge.primed_at_ms.get(model.name)
        if last_ms is not None and plan.now_ms - last_ms < PRIME_AGAIN_MS:
            return 0.0
        version = model.version_by_name[model.serve]
        remote_ms = plan.knowledge.load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
        disk_ms = plan.knowledge.load_times.expected_ms(Tier.DISK, version.checkpoint_mb)
        saved_ms = plan.prices.cold_start_ms(remote_ms) - plan.prices.cold_start_ms(disk_ms)
        chance = min(plan.knowledge.arrivals.sessions_a_day(model.name, plan.now_ms), 1.0)
        cost_ms = plan.prices.hold_price * (remote_ms + UNLOAD_MS)
        return chance * priority_part(model) * saved_ms - cost_ms

    def _load(self, plan, model, reason, for_disk=False):
        version = model.version_by_name[model.serve]
        choice = choose_endpoint(plan, Need(model, version), lambda node_id: [])
        if choice is None or choice.must_wait:
            return False
        if for_disk and choice.endpoint.node_id in plan.knowledge.diskless_ids:
            return False
        tier = checkpoint_tier(choice.endpoint, model.name, version.name)
        if tier is Tier.REMOTE and not (plan.budget.is_quiet and plan.budget.has_room):
            return False
        plan.load(model, version, choice.endpoint, reason)
        return True
