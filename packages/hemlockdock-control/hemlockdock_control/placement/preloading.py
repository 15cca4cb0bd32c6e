"""Load models ahead of requests where the arrival history justifies it."""

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.endpoint_choice import LoadRequirements, choose_endpoint
from hemlockdock_control.placement.retention import STARTUP_GRACE_MS, UNLOAD_MS, priority_weight

CHECK_INTERVAL_MS = 60_000
PREFETCH_INTERVAL_MS = 12 * 3_600_000


class Preloader:
    """Load models ahead of requests.

    There are two kinds of such loads. A model whose next session is expected soon is
    prewarmed. A checkpoint that no usable host has on disk or in memory is loaded once and
    unloaded again, so that it is cached on disk and its next cold start is short.
    """

    def __init__(self):
        self._next_check_ms = 0
        self._last_session_count = 0

    def load(self, plan):
        """Load models ahead of requests, into free memory only.

        Parameters
        ----------
        plan : hemlockdock_control.placement.plan.Plan
        """
        if (
            plan.now_ms - plan.statistics.first_round_ms < STARTUP_GRACE_MS
            or not plan.budget.is_lightly_loaded
        ):
            return
        session_count = plan.statistics.arrivals.session_count
        if plan.now_ms < self._next_check_ms and session_count == self._last_session_count:
            return
        self._next_check_ms = plan.now_ms + CHECK_INTERVAL_MS
        self._last_session_count = session_count
        self._prewarm(plan)
        self._prefetch(plan)

    def _prewarm(self, plan):
        candidates = []
        for model in plan.view.model_by_name.values():
            if plan.replicas_by_model.get(model.name) or model.name in plan.demand_by_model:
                continue
            forecast = self._forecast_session(plan, model)
            if forecast is not None:
                candidates.append((-forecast.gain_ms, model.name, forecast))
        for _, name, forecast in sorted(candidates, key=lambda item: item[:2]):
            reason = f"ahead: by {forecast.source}, {forecast.probability:.0%} within "
            reason += f"{forecast.horizon_ms / 1_000:.0f} s"
            self._load(plan, plan.view.model_by_name[name], reason)

    def _forecast_session(self, plan, model):
        version = model.version_by_name[model.serve]
        tier = plan.statistics.checkpoints.best_tier(model.name, version.name)
        load_ms = plan.statistics.load_times.expected_ms(tier, version.checkpoint_mb)
        avoided_cost_ms = priority_weight(model) * plan.cost_model.cold_start_cost_ms(load_ms)
        hold_cost = plan.cost_model.hold_cost
        forecasts = plan.statistics.arrivals.session_start_forecasts(
            model.name, plan.now_ms, avoided_cost_ms, hold_cost, load_ms + CHECK_INTERVAL_MS
        )
        cost_ms = hold_cost * (load_ms + UNLOAD_MS)
        forecasts = [forecast for forecast in forecasts if forecast.gain_ms > cost_ms]
        if not forecasts:
            return None
        return max(forecasts, key=lambda forecast: forecast.gain_ms)

    def _prefetch(self, plan):
        if not plan.budget.is_idle or plan.demand_by_model:
            return
        best = None
        for model in plan.view.model_by_name.values():
            gain_ms = self._prefetch_gain_ms(plan, model)
            if gain_ms > 0.0 and (best is None or gain_ms > best[0]):
                best = (gain_ms, model)
        if best is None:
            return
        if self._load(plan, best[1], "ahead: puts the checkpoint on a disk", for_disk=True):
            plan.statistics.prefetched_at_ms[best[1].name] = plan.now_ms

    def _prefetch_gain_ms(self, plan, model):
        if plan.replicas_by_model.get(model.name) or plan.load_commands_by_model.get(model.name):
            return 0.0
        if plan.statistics.checkpoints.best_tier(model.name, model.serve) is not Tier.REMOTE:
            return 0.0
        last_ms = plan.statistics.prefetched_at_ms.get(model.name)
        if last_ms is not None and plan.now_ms - last_ms < PREFETCH_INTERVAL_MS:
            return 0.0
        version = model.version_by_name[model.serve]
        remote_ms = plan.statistics.load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
        disk_ms = plan.statistics.load_times.expected_ms(Tier.DISK, version.checkpoint_mb)
        saved_ms = plan.cost_model.cold_start_cost_ms(
            remote_ms
        ) - plan.cost_model.cold_start_cost_ms(disk_ms)
        probability = min(plan.statistics.arrivals.sessions_a_day(model.name, plan.now_ms), 1.0)
        cost_ms = plan.cost_model.hold_cost * (remote_ms + UNLOAD_MS)
        return probability * priority_weight(model) * saved_ms - cost_ms

    def _load(self, plan, model, reason, for_disk=False):
        version = model.version_by_name[model.serve]
        choice = choose_endpoint(plan, LoadRequirements(model, version), lambda node_id: [])
        if choice is None or choice.waits_for_unloads:
            return False
        if for_disk and choice.endpoint.node_id in plan.statistics.diskless_node_ids:
            return False
        tier = checkpoint_tier(choice.endpoint, model.name, version.name)
        if tier is Tier.REMOTE and not (plan.budget.is_lightly_loaded and plan.budget.has_capacity):
            return False
        plan.load(model, version, choice.endpoint, reason)
        return True
