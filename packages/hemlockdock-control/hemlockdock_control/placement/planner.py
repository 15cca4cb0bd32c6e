"""Decide loads and unloads from a view of the deployment."""

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.adapters import load_adapters
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.eviction import Eviction
from hemlockdock_control.placement.explain import explain_model
from hemlockdock_control.placement.hangs import unload_hung
from hemlockdock_control.placement.plan import Plan
from hemlockdock_control.placement.planner_statistics import PlannerStatistics
from hemlockdock_control.placement.preloading import Preloader
from hemlockdock_control.placement.retention import Retention
from hemlockdock_control.placement.scale_up import scale_up
from hemlockdock_control.placement.versions import replace_versions, unload_unwanted


class Planner:
    """Decide which models are loaded where.

    ``decide`` is deterministic: it depends only on its arguments, the settings, the calls of
    ``observe_*`` and earlier rounds. Before anything is observed, it uses default estimates.

    Attributes
    ----------
    settings : hemlockdock_core.settings.Settings
    statistics : PlannerStatistics
    """

    def __init__(self, settings, retention=None, preloader=None):
        """Create a planner that has observed nothing yet.

        Parameters
        ----------
        settings : hemlockdock_core.settings.Settings
        retention : Retention, optional
        preloader : Preloader, optional
        """
        self.settings = settings
        self.statistics = PlannerStatistics()
        self._retention = retention or Retention()
        self._preloader = preloader or Preloader()
        self._wait_reason_by_model = {}

    def observe_arrivals(self, model, count, at_ms):
        """Record that requests for a model arrived, at all entries together.

        Parameters
        ----------
        model : str
        count : int
            New arrivals since the last call.
        at_ms : int
        """
        if count > 0:
            self.statistics.arrivals.observe(model, at_ms)

    def observe_load(self, view, replica_id, took_ms):
        """Record a successful load; call it while the view still has the replica as loading.

        Parameters
        ----------
        view : PlannerView
        replica_id : str
        took_ms : int
        """
        replica = view.replica_by_id.get(replica_id)
        if replica is None or replica.model not in view.model_by_name:
            return
        version = view.model_by_name[replica.model].version_by_name.get(replica.version)
        endpoint = view.endpoint_by_id.get(replica.node_id)
        if version is None or endpoint is None:
            return
        tier = checkpoint_tier(endpoint, replica.model, replica.version)
        self.statistics.load_times.observe(tier, version.checkpoint_mb, took_ms)
        self.statistics.load_times.record_completion(tier, replica.decided_at_ms)

    def observe_failure(self, model, node_id, at_ms):
        """Record that a load failed, hung or was lost, so that other endpoints are tried first.

        Parameters
        ----------
        model : str
        node_id : str
        at_ms : int
        """
        self.statistics.record_failure(model, node_id, at_ms)

    def decide(self, view, now_ms):
        """Run one planning round.

        Parameters
        ----------
        view : PlannerView
        now_ms : int
            Wall clock, in milliseconds since 1970.

        Returns
        -------
        list of Command
            In the order in which to commit them.
        """
        plan = self._create_plan(view, now_ms)
        unload_unwanted(plan)
        unload_hung(plan)
        eviction = Eviction(plan, self._retention)
        unmet = scale_up(plan, eviction)
        load_adapters(plan, eviction)
        replace_versions(plan, unmet)
        self._retention.unload_idle(plan)
        if unmet == 0:
            self._preloader.load(plan)
        self._wait_reason_by_model = plan.wait_reason_by_model
        self.statistics.store_wait_ms = self._store_wait_ms(plan, unmet)
        return plan.commands

    def expected_load_ms(self, view, model_name):
        """Return how long a cold start of a model is expected to take now, in milliseconds.

        Parameters
        ----------
        view : PlannerView
        model_name : str

        Returns
        -------
        int
        """
        model = view.model_by_name[model_name]
        version = model.version_by_name[model.serve]
        self.statistics.checkpoints.update(view.endpoint_by_id)
        tier = self.statistics.checkpoints.best_tier(model_name, model.serve)
        load_ms = self.statistics.load_times.expected_ms(tier, version.checkpoint_mb)
        if tier is not Tier.REMOTE:
            return load_ms
        return load_ms + self.statistics.store_wait_ms

    def explain(self, view, model_name, now_ms):
        """Explain why a model is loaded or not.

        Parameters
        ----------
        view : PlannerView
        model_name : str
        now_ms : int

        Returns
        -------
        list of str
            One reason per line.
        """
        lines = explain_model(self._create_plan(view, now_ms), model_name, self._retention)
        if model_name in self._wait_reason_by_model:
            lines.append(self._wait_reason_by_model[model_name])
        return lines

    def _store_wait_ms(self, plan, unmet):
        if plan.budget.has_capacity:
            return 0
        queue_rounds = (unmet + 1) / plan.budget.max_in_flight
        return round(queue_rounds * self.statistics.load_times.average_ms(Tier.REMOTE))

    def _create_plan(self, view, now_ms):
        if self.statistics.first_round_ms is None:
            self.statistics.first_round_ms = now_ms
        self.statistics.checkpoints.update(view.endpoint_by_id)
        self.statistics.update_diskless(view, now_ms)
        return Plan(view, self.settings, self.statistics, now_ms)
