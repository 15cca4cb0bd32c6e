"""Define the placement policies that the planner is compared with."""

import random
from bisect import bisect_right

from hemlockdock_control.placement import Planner
from hemlockdock_control.placement.adapters import load_adapters
from hemlockdock_control.placement.eviction import Eviction
from hemlockdock_control.placement.preloading import Preloader
from hemlockdock_control.placement.retention import Retention, RetentionValue, idle_since_ms
from hemlockdock_core.commands import DecideUnload
from hemlockdock_core.rows import ReplicaState

ORACLE_MARGIN_MS = 1_500
ORACLE_UNLOAD_MS = 1_000


class NoneAhead(Preloader):
    """Load no models ahead of requests."""

    def load(self, plan):
        """Do nothing."""


class FixedTtl(Retention):
    """Keep each idle replica for a fixed time.

    Under memory pressure, the least recently used replica is unloaded first.
    """

    def __init__(self, ttl_ms):
        """Create the policy.

        Parameters
        ----------
        ttl_ms : float
        """
        super().__init__()
        self._ttl_ms = ttl_ms

    def retention_value(self, plan, replica):
        """Return a retention value that ranks replicas by their last use."""
        since_ms = idle_since_ms(plan, replica)
        left_ms = self._ttl_ms - (plan.now_ms - since_ms)
        gain_ms = 1.0 / (1.0 + plan.now_ms - since_ms) if left_ms > 0 else 0.0
        return RetentionValue(gain_ms, "time to live is over", since_ms, plan.now_ms)

    def _has_to_stay(self, plan, replica):
        return False

    def _is_extra(self, plan, replica):
        return False


class Oracle(Retention):
    """Keep an idle replica only if its next request comes before it could be reloaded.

    The arrivals of the trace are known in advance, so this is a reference and no policy that
    could be deployed.
    """

    def __init__(self, trace):
        """Index the arrivals of the trace by model.

        Parameters
        ----------
        trace : Trace
        """
        super().__init__()
        self._arrival_times_by_model = {}
        for arrival in trace.arrivals:
            self._arrival_times_by_model.setdefault(arrival.model, []).append(arrival.at_ms)

    def next_arrival_ms(self, model, now_ms):
        """Return the time of a model's next request, or infinity without one."""
        times = self._arrival_times_by_model.get(model, [])
        index = bisect_right(times, now_ms)
        return times[index] if index < len(times) else float("inf")

    def retention_value(self, plan, replica):
        """Return a retention value based on the time of the next request."""
        left_ms = self.next_arrival_ms(replica.model, plan.now_ms) - plan.now_ms
        model = plan.view.model_by_name[replica.model]
        reload_ms = reload_time_ms(plan, model) + ORACLE_UNLOAD_MS + ORACLE_MARGIN_MS
        gain_ms = 1e6 / (1.0 + left_ms) if left_ms < reload_ms else 0.0
        return RetentionValue(gain_ms, "next request is known", 0, plan.now_ms)

    def _has_to_stay(self, plan, replica):
        return False


class OracleAhead(Preloader):
    """Load each model so that it is ready shortly before its next request."""

    def __init__(self, oracle):
        """Create the policy.

        Parameters
        ----------
        oracle : Oracle
        """
        super().__init__()
        self._oracle = oracle

    def load(self, plan):
        """Load the models whose next request is close."""
        for model in plan.view.model_by_name.values():
            if plan.replicas_by_model.get(model.name) or model.name in plan.demand_by_model:
                continue
            left_ms = self._oracle.next_arrival_ms(model.name, plan.now_ms) - plan.now_ms
            if left_ms < reload_time_ms(plan, model) + 6_000:
                self._load(plan, model, "next request is known")


def reload_time_ms(plan, model):
    """Return the expected load time of a model now, plus 20 % for variation."""
    version = model.version_by_name[model.serve]
    tier = plan.statistics.checkpoints.best_tier(model.name, version.name)
    return 1.2 * plan.statistics.load_times.expected_ms(tier, version.checkpoint_mb)


class NeverUnload:
    """Run a planner, but drop its decisions to unload."""

    def __init__(self, planner):
        """Wrap a planner.

        Parameters
        ----------
        planner : Planner
        """
        self._planner = planner
        self.observe_arrivals = planner.observe_arrivals
        self.observe_load = planner.observe_load

    def decide(self, view, now_ms):
        """Return the planner's decisions without unloads."""
        commands = self._planner.decide(view, now_ms)
        return [command for command in commands if not isinstance(command, DecideUnload)]


class FirstComePlanner(Planner):
    """Load models first come, first served, on a random or the emptiest endpoint."""

    def __init__(self, settings, ttl_ms, seed=None):
        """Create the planner. With a seed, endpoints are chosen at random.

        Parameters
        ----------
        settings : hemlockdock_core.settings.Settings
        ttl_ms : float
        seed : int, optional
        """
        super().__init__(settings, FixedTtl(ttl_ms), NoneAhead())
        self._random = None if seed is None else random.Random(seed)

    def decide(self, view, now_ms):
        """Decide loads in the order in which models were first requested."""
        plan = self._create_plan(view, now_ms)
        demands = sorted(plan.demand_by_model.values(), key=lambda d: (d.since_ms, d.model))
        for demand in demands:
            self._load_first_come(plan, demand)
        load_adapters(plan, Eviction(plan, self._retention))
        self._retention.unload_idle(plan)
        return plan.commands

    def _load_first_come(self, plan, demand):
        model = plan.view.model_by_name[demand.model]
        replicas = plan.replicas_by_model.get(model.name, [])
        if any(plan.is_usable(r.node_id) and r.state != ReplicaState.UNLOADING for r in replicas):
            return
        if plan.replica_count(model.name) >= model.most_replicas or not plan.budget.has_capacity:
            return
        version = model.version_by_name[model.serve]
        usable = [e for e in plan.view.endpoint_by_id.values() if e.accepts_work]
        usable = [e for e in usable if all(r.node_id != e.node_id for r in replicas)]
        fitting = [e for e in usable if plan.free_mb(e.node_id) >= version.memory_mb]
        if fitting:
            plan.load(model, version, self._choose_endpoint(plan, fitting), "first come")
            return
        self._evict_least_recently_used(plan, usable, version)

    def _choose_endpoint(self, plan, endpoints):
        if self._random is not None:
            return self._random.choice(endpoints)
        return max(
            endpoints, key=lambda endpoint: (plan.free_mb(endpoint.node_id), endpoint.node_id)
        )

    def _evict_least_recently_used(self, plan, usable, version):
        if plan.unloading_ids:
            return
        idle = []
        for endpoint in usable:
            for replica in plan.replicas_by_node.get(endpoint.node_id, ()):
                if replica.state is ReplicaState.READY and replica.in_flight == 0:
                    idle.append(replica)
        idle.sort(key=lambda replica: (replica.last_used_ms, replica.replica_id))
        for replica in idle[:1]:
            plan.unload(replica, "least recently used")
