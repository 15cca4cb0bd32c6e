"""Hold the working state of one planning round."""

from hemlockdock_control.loading import StoreBudget, Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.cost_model import CostModel
from hemlockdock_control.placement.demand import merge_demand
from hemlockdock_control.placement.planner_statistics import LoadStart
from hemlockdock_core.commands import DecideAdapter, DecideAdapterUnload, DecideLoad, DecideUnload
from hemlockdock_core.rows import ReplicaState


class Plan:
    """Hold the view of the deployment and the commands decided so far in this round.

    Attributes
    ----------
    view : PlannerView
    statistics : PlannerStatistics
    now_ms : int
    cost_model : CostModel
    commands : list of Command
        Commands decided so far, in order.
    demand_by_model : dict of str to Demand
    replicas_by_model : dict of str to list of ReplicaView
    replicas_by_node : dict of str to list of ReplicaView
    load_commands_by_model : dict of str to list of DecideLoad
    pending_free_mb_by_node : dict of str to int
        Memory that unloads in progress will free, less what is reserved for waiting loads.
    allocated_mb_by_node : dict of str to int
        Memory allocated or reserved by this round's decisions.
    unloading_ids : set of str
        Replicas being unloaded, by earlier decisions or this round's.
    wait_reason_by_model : dict of str to str
        Why a model with waiting requests was not loaded.
    adapter_unloads : set of (str, str)
        Replica id and adapter name of each adapter unloaded in this round.
    budget : StoreBudget
    adapter_loads_left : int
        Number of adapter loads that may still start.
    """

    def __init__(self, view, settings, statistics, now_ms):
        """Index the view and count the loads in flight.

        Parameters
        ----------
        view : PlannerView
        settings : hemlockdock_core.settings.Settings
        statistics : PlannerStatistics
        now_ms : int
        """
        self.view = view
        self.statistics = statistics
        self.now_ms = now_ms
        self.cost_model = CostModel(view.tail_cold_start, view.credits_expire_ms, now_ms)
        self.commands = []
        self.demand_by_model = merge_demand(view)
        self.replicas_by_model = {}
        self.replicas_by_node = {}
        self.load_commands_by_model = {}
        self.pending_free_mb_by_node = {}
        self.allocated_mb_by_node = {}
        self.unloading_ids = set()
        self.wait_reason_by_model = {}
        self.adapter_unloads = set()
        self.adapter_loads_left = settings.store.adapters_in_flight
        oldest_ms = now_ms - StoreBudget.WINDOW_MS
        starts = statistics.recent_starts(oldest_ms)
        in_flight = 0
        for replica in view.replica_by_id.values():
            self.replicas_by_model.setdefault(replica.model, []).append(replica)
            self.replicas_by_node.setdefault(replica.node_id, []).append(replica)
            self.adapter_loads_left -= len(replica.adapters_loading)
            if replica.decided_at_ms > oldest_ms:
                start = LoadStart(replica.decided_at_ms, replica.model, replica.node_id)
                if start not in starts:
                    starts.add(start)
                    statistics.record_start(start)
            if replica.state is ReplicaState.UNLOADING:
                self._count_unloading(replica)
                continue
            if replica.state is ReplicaState.LOADING and self._reads_from_store(replica):
                in_flight += 1
        self.budget = StoreBudget(settings.store, in_flight, [start.at_ms for start in starts])

    def is_usable(self, node_id):
        """Return whether an endpoint accepts new work.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        bool
        """
        endpoint = self.view.endpoint_by_id.get(node_id)
        return endpoint is not None and endpoint.accepts_work

    def free_mb(self, node_id):
        """Return an endpoint's memory that is neither reserved nor allocated in this round.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        int
        """
        endpoint = self.view.endpoint_by_id[node_id]
        return endpoint.memory_mb - endpoint.reserved_mb - self.allocated_mb_by_node.get(node_id, 0)

    def replica_memory_mb(self, replica):
        """Return the memory that unloading a replica frees: its version's and its adapters'.

        Versions and adapters that are not in the view count as 0.

        Parameters
        ----------
        replica : ReplicaView

        Returns
        -------
        int
        """
        memory_mb = 0
        model = self.view.model_by_name.get(replica.model)
        version = model.version_by_name.get(replica.version) if model else None
        if version is not None:
            memory_mb += version.memory_mb
        for name in replica.adapters | replica.adapters_loading | replica.adapters_unloading:
            adapter = self.view.adapter_by_name.get(name)
            memory_mb += adapter.memory_mb if adapter else 0
        return memory_mb

    def replica_count(self, model):
        """Return how many replicas of a model count against its ``most_replicas``.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        existing = len(self.replicas_by_model.get(model, ()))
        return existing + len(self.load_commands_by_model.get(model, ()))

    def served_replicas(self, model):
        """Return a model's replicas of the served version, loading or ready, on usable endpoints.

        Parameters
        ----------
        model : ModelView

        Returns
        -------
        list of ReplicaView
        """
        serving = []
        for replica in self.replicas_by_model.get(model.name, ()):
            if replica.version != model.serve or replica.replica_id in self.unloading_ids:
                continue
            if self.is_usable(replica.node_id):
                serving.append(replica)
        return serving

    def load(self, model, version, endpoint, reason):
        """Add a load command and account for its memory and store slot.

        Parameters
        ----------
        model : ModelView
        version : VersionView
        endpoint : EndpointView
        reason : str
        """
        command = DecideLoad(
            model=model.name,
            version=version.name,
            node_id=endpoint.node_id,
            incarnation=endpoint.incarnation,
            at_ms=self.now_ms,
            reason=reason,
        )
        self.commands.append(command)
        self.load_commands_by_model.setdefault(model.name, []).append(command)
        self._allocate(endpoint.node_id, version.memory_mb)
        if checkpoint_tier(endpoint, model.name, version.name) is Tier.REMOTE:
            self.budget.acquire(self.now_ms)
            start = LoadStart(self.now_ms, model.name, endpoint.node_id)
            self.statistics.record_start(start)

    def reserve_memory(self, node_id, memory_mb):
        """Reserve an endpoint's memory for a load that waits for unloads there.

        Parameters
        ----------
        node_id : str
        memory_mb : int
        """
        free_mb = self.free_mb(node_id)
        self._allocate(node_id, free_mb)
        left_mb = self.pending_free_mb_by_node.get(node_id, 0) - (memory_mb - free_mb)
        self.pending_free_mb_by_node[node_id] = left_mb

    def unload(self, replica, reason):
        """Add an unload command, unless the replica is already being unloaded.

        Parameters
        ----------
        replica : ReplicaView
        reason : str
        """
        if replica.replica_id in self.unloading_ids:
            return
        self.commands.append(DecideUnload(replica.replica_id, self.now_ms, reason))
        self._count_unloading(replica)

    def load_adapter(self, replica, adapter):
        """Add a command to load an adapter on a replica.

        Parameters
        ----------
        replica : ReplicaView
        adapter : AdapterView
        """
        self.commands.append(DecideAdapter(replica.replica_id, adapter.name, self.now_ms))
        self._allocate(replica.node_id, adapter.memory_mb)
        self.adapter_loads_left -= 1

    def unload_adapter(self, replica, adapter_name):
        """Add a command to unload an adapter from a replica.

        Parameters
        ----------
        replica : ReplicaView
        adapter_name : str
        """
        self.adapter_unloads.add((replica.replica_id, adapter_name))
        self.commands.append(DecideAdapterUnload(replica.replica_id, adapter_name, self.now_ms))

    def _allocate(self, node_id, memory_mb):
        self.allocated_mb_by_node[node_id] = self.allocated_mb_by_node.get(node_id, 0) + memory_mb

    def _count_unloading(self, replica):
        self.unloading_ids.add(replica.replica_id)
        freed_mb = self.pending_free_mb_by_node.get(replica.node_id, 0)
        self.pending_free_mb_by_node[replica.node_id] = freed_mb + self.replica_memory_mb(replica)

    def _reads_from_store(self, replica):
        # A load on a lost host no longer reads from the store, so its slot is free.
        endpoint = self.view.endpoint_by_id.get(replica.node_id)
        if endpoint is None or endpoint.lost:
            return False
        return checkpoint_tier(endpoint, replica.model, replica.version) is Tier.REMOTE
