"""Decide loads and unloads from a view of the deployment."""

from hemlockdock_control.loading import LoadTimes, Tier
from hemlockdock_control.placement.hosts import choose_endpoint
from hemlockdock_control.placement.round import Round, checkpoint_tier
from hemlockdock_core.rows import ReplicaState

KEEP_IDLE_MS = 600_000
SHORTEST_STAY_MS = 30_000
SHORTEST_HANG_MS = 20_000
HANG_FACTOR = 4
AVOID_AFTER_FAILURE_MS = 60_000


class Planner:
    """Decide which models are loaded where.

    ``decide`` depends on nothing but its arguments, the settings and what ``observe_*`` was
    told; with nothing learnt it decides from defaults.

    Attributes
    ----------
    settings : hemlockdock_core.settings.Settings
    load_times : LoadTimes
    """

    def __init__(self, settings):
        """Start with nothing learnt.

        Parameters
        ----------
        settings : hemlockdock_core.settings.Settings
        """
        self.settings = settings
        self.load_times = LoadTimes()
        self._failed_at_ms = {}
        self._expected_ms_by_model = {}
        self._reason_by_model = {}

    def observe_arrivals(self, model, count, at_ms):
        """Learn that requests for a model arrived, at all entries together.

        Parameters
        ----------
        model : str
        count : int
            New arrivals since the last call.
        at_ms : int
        """

    def observe_load(self, view, replica_id, took_ms):
        """Learn from a load that ended well; call it while the view still has it as loading.

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
        self.load_times.observe(tier, version.checkpoint_mb, took_ms)

    def observe_failure(self, model, node_id, at_ms):
        """Learn that a load failed, hung or was lost, so that it is tried elsewhere first.

        Parameters
        ----------
        model : str
        node_id : str
        at_ms : int
        """
        self._failed_at_ms[(model, node_id)] = at_ms

    def decide(self, view, now_ms):
        """Make one round of decisions.

        Parameters
        ----------
        view : PlannerView
        now_ms : int
            Wall clock, in milliseconds since 1970.

        Returns
        -------
        list of Command
            DecideLoad, DecideUnload and DecideAdapter, in the order to be committed.
        """
        plan = Round(view, self.settings, [], now_ms)
        self._reason_by_model = {}
        self._drop_unwanted(plan)
        self._drop_hung(plan)
        self._drop_idle(plan)
        self._wake(plan)
        self._load_adapters(plan)
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
        best = Tier.REMOTE
        for endpoint in view.endpoint_by_id.values():
            if endpoint.lost or endpoint.leaving:
                continue
            best = min(best, checkpoint_tier(endpoint, model_name, model.serve))
        return self.load_times.expected_ms(best, version.checkpoint_mb)

    def explain(self, view, model_name, now_ms):
        """Say why a model is, or is not, loaded.

        Parameters
        ----------
        view : PlannerView
        model_name : str
        now_ms : int

        Returns
        -------
        list of str
            One reason a line.
        """
        model = view.model_by_name.get(model_name)
        if model is None:
            return [f"{model_name} is not in the manifest in force"]
        lines = [f"serves version {model.serve}, at most {model.most_replicas} replicas"]
        for replica in view.replica_by_id.values():
            if replica.model != model_name:
                continue
            idle_s = (now_ms - max(replica.last_used_ms, replica.ready_at_ms)) // 1_000
            lines.append(
                f"replica {replica.replica_id} of {replica.version} on {replica.node_id}: "
                f"{replica.state}, {replica.in_flight} in flight, idle for {idle_s} s"
            )
        if len(lines) == 1:
            lines.append("no replica, since no request waits for it")
        lines.append(
            f"a cold start is expected to take {self.expected_load_ms(view, model_name)} ms"
        )
        if model_name in self._reason_by_model:
            lines.append(self._reason_by_model[model_name])
        return lines

    def _drop_unwanted(self, plan):
        for replica in plan.view.replica_by_id.values():
            if replica.state is ReplicaState.UNLOADING:
                continue
            model = plan.view.model_by_name.get(replica.model)
            endpoint = plan.view.endpoint_by_id.get(replica.node_id)
            if model is None or replica.version not in model.version_by_name:
                plan.unload(replica, "not in the manifest")
                continue
            if endpoint is not None and endpoint.leaving and not endpoint.lost:
                plan.unload(replica, "endpoint leaving")
                continue
            if replica.version != model.serve and self._may_replace(plan, model):
                plan.unload(replica, "version replaced")

    def _may_replace(self, plan, model):
        # The served version is warm before the old one goes, where the count leaves room.
        replicas = plan.replicas_by_model[model.name]
        if any(r.version == model.serve and r.state is ReplicaState.READY for r in replicas):
            return True
        if len(replicas) >= model.most_replicas:
            return not any(r.version == model.serve for r in replicas)
        return model.name not in plan.demand_by_model

    def _drop_hung(self, plan):
        for replica in plan.view.replica_by_id.values():
            if replica.state is not ReplicaState.LOADING:
                continue
            if plan.now_ms - replica.decided_at_ms < self._hang_ms(plan, replica):
                continue
            if replica.replica_id in plan.unloading_ids:
                continue
            plan.unload(replica, "load hangs")
            self.observe_failure(replica.model, replica.node_id, plan.now_ms)

    def _hang_ms(self, plan, replica):
        model = plan.view.model_by_name.get(replica.model)
        version = model.version_by_name.get(replica.version) if model else None
        if version is None:
            return SHORTEST_HANG_MS
        expected_ms = self.load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
        return max(HANG_FACTOR * expected_ms, SHORTEST_HANG_MS)

    def _drop_idle(self, plan):
        for replica in plan.view.replica_by_id.values():
            if replica.state is not ReplicaState.READY or replica.in_flight > 0:
                continue
            if replica.model in plan.demand_by_model:
                continue
            idle_ms = plan.now_ms - max(replica.last_used_ms, replica.ready_at_ms)
            if idle_ms >= KEEP_IDLE_MS:
                plan.unload(replica, "idle")

    def _wake(self, plan):
        for demand in sorted(
            plan.demand_by_model.values(),
            key=lambda demand: (-demand.priority, demand.deadline_at_ms, demand.model),
        ):
            model = plan.view.model_by_name[demand.model]
            self._wake_model(plan, model, demand)

    def _wake_model(self, plan, model, demand):
        supply, in_flight = self._supply(plan, model)
        load = demand.waiting + in_flight
        wanted = min(-(-load // model.requests_per_replica), model.most_replicas)
        version = model.version_by_name[model.serve]
        while supply < wanted and plan.count(model.name) < model.most_replicas:
            choice = choose_endpoint(
                plan,
                model,
                version,
                self.load_times,
                self._may_evict(plan),
                self._avoided(plan, model),
            )
            if choice is None:
                self._reason_by_model[model.name] = "waits: no endpoint has room"
                return
            tier = checkpoint_tier(choice.endpoint, model.name, version.name)
            if tier is Tier.REMOTE and not plan.budget.has_room:
                self._reason_by_model[model.name] = "waits: the weight store's limits are reached"
                return
            if not choice.must_wait:
                plan.load(model, version, choice.endpoint, f"{demand.waiting} requests wait")
                supply += 1
                continue
            for victim in choice.victims:
                plan.unload(victim, f"makes room for {model.name}")
            node_id = choice.endpoint.node_id
            missing_mb = version.memory_mb - plan.free_mb(node_id)
            plan.freed_by_node[node_id] -= missing_mb
            plan.taken_by_node[node_id] = plan.taken_by_node.get(node_id, 0) + plan.free_mb(node_id)
            self._reason_by_model[model.name] = f"waits for unloads on {node_id}"
            supply += 1

    def _supply(self, plan, model):
        supply = 0
        in_flight = 0
        for replica in plan.replicas_by_model.get(model.name, ()):
            in_flight += replica.in_flight
            if replica.replica_id in plan.unloading_ids or not plan.is_usable(replica.node_id):
                continue
            if replica.version == model.serve:
                supply += 1
        return supply, in_flight

    def _may_evict(self, plan):
        def may_evict(replica):
            if replica.model in plan.demand_by_model:
                return False
            stay_ms = plan.now_ms - max(replica.ready_at_ms, replica.last_used_ms)
            return stay_ms >= SHORTEST_STAY_MS

        return may_evict

    def _avoided(self, plan, model):
        avoided = set()
        for (name, node_id), at_ms in self._failed_at_ms.items():
            if name == model.name and plan.now_ms - at_ms < AVOID_AFTER_FAILURE_MS:
                avoided.add(node_id)
        return frozenset(avoided)

    def _load_adapters(self, plan):
        for name in sorted(plan.demand_by_model):
            demand = plan.demand_by_model[name]
            for adapter_name in sorted(demand.waiting_by_adapter):
                adapter = plan.view.adapter_by_name.get(adapter_name)
                if adapter is None or plan.adapter_room <= 0:
                    continue
                self._load_adapter(plan, name, adapter)

    def _load_adapter(self, plan, model_name, adapter):
        best = None
        for replica in plan.replicas_by_model.get(model_name, ()):
            if replica.state is not ReplicaState.READY or not plan.is_usable(replica.node_id):
                continue
            if replica.replica_id in plan.unloading_ids:
                continue
            if adapter.name in replica.adapters or adapter.name in replica.adapters_loading:
                return
            if plan.free_mb(replica.node_id) < adapter.memory_mb:
                continue
            if best is None or (replica.in_flight, replica.replica_id) < best:
                best = (replica.in_flight, replica.replica_id)
        if best is not None:
            plan.load_adapter(plan.view.replica_by_id[best[1]], adapter)
