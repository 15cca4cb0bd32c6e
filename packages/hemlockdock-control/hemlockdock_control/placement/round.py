"""Hold the working state of one round of decisions."""

from hemlockdock_control.loading import StoreBudget, Tier
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_control.placement.demand import demand_by_model
from hemlockdock_control.placement.knowledge import Start
from hemlockdock_control.placement.prices import Prices
from hemlockdock_core.commands import DecideAdapter, DecideAdapterUnload, DecideLoad, DecideUnload
from hemlockdock_core.rows import ReplicaState


class Round:
    """Hold the view together with what this round has already decided.

    Attributes
    ----------
    view : PlannerView
    knowledge : Knowledge
    now_ms : int
    prices : Prices
    commands : list of Command
        Decided so far, in order.
    demand_by_model : dict of str to Demand
    replicas_by_model : dict of str to list of ReplicaView
    replicas_by_node : dict of str to list of ReplicaView
    decided_by_model : dict of str to list of DecideLoad
    freed_by_node : dict of str to int
        Memory that unloads under way will free, less what waiting models claimed of it.
    taken_by_node : dict of str to int
        Memory taken or claimed by this round's decisions.
    unloading_ids : set of str
        Replicas that are going, by earlier decisions or this round's.
    reason_by_model : dict of str to str
        Why a model that is asked for was not loaded.
    budget : StoreBudget
    adapter_room : int
        Adapter loads that may still start.
    """

    def __init__(self, view, settings, knowledge, now_ms):
        """Index the view.

        Parameters
        ----------
        view : PlannerView
        settings : hemlockdock_core.settings.Settings
        knowledge : Knowledge
        now_ms : int
        """
        self.view = view
        self.knowledge = knowledge
        self.now_ms = now_ms
        self.prices = Prices(view.tail_cold_start, view.credits_expire_ms, now_ms)
        self.commands = []
        self.demand_by_model = demand_by_model(view)
        self.replicas_by_model = {}
        self.replicas_by_node = {}
        self.decided_by_model = {}
        self.freed_by_node = {}
        self.taken_by_node = {}
        self.unloading_ids = set()
        self.reason_by_model = {}
        self.adapter_room = settings.store.adapters_in_flight
        oldest_ms = now_ms - StoreBudget.WINDOW_MS
        starts = knowledge.recent_starts(oldest_ms)
        in_flight = 0
        for replica in view.replica_by_id.values():
            self.replicas_by_model.setdefault(replica.model, []).append(replica)
            self.replicas_by_node.setdefault(replica.node_id, []).append(replica)
            self.adapter_room -= len(replica.adapters_loading)
            if replica.state is ReplicaState.UNLOADING:
                self._count_unloading(replica)
                continue
            if replica.decided_at_ms > oldest_ms:
                starts.add(Start(replica.decided_at_ms, replica.model, replica.node_id))
            if replica.state is ReplicaState.LOADING and self._reads_from_store(replica):
                in_flight += 1
        self.budget = StoreBudget(settings.store, in_flight, [start.at_ms for start in starts])

    def is_usable(self, node_id):
        """Tell whether an endpoint takes new work.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        bool
        """
        endpoint = self.view.endpoint_by_id.get(node_id)
        return endpoint is not None and endpoint.takes_work

    def free_mb(self, node_id):
        """Return an endpoint's memory that is neither reserved nor taken by this round.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        int
        """
        endpoint = self.view.endpoint_by_id[node_id]
        return endpoint.memory_mb - endpoint.reserved_mb - self.taken_by_node.get(node_id, 0)

    def replica_memory_mb(self, replica):
        """Return what a replica's end will free: its version and its adapters, as far as known.

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

    def count(self, model):
        """Return how many replicas of a model count against its most replicas.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        held = len(self.replicas_by_model.get(model, ()))
        return held + len(self.decided_by_model.get(model, ()))

    def serving(self, model):
        """Return the replicas of a model's served version that are loading or ready, and usable.

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
        """Decide a load.

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
        self.decided_by_model.setdefault(model.name, []).append(command)
        self._take(endpoint.node_id, version.memory_mb)
        if checkpoint_tier(endpoint, model.name, version.name) is Tier.REMOTE:
            self.budget.take(self.now_ms)
            start = Start(self.now_ms, model.name, endpoint.node_id)
            self.knowledge.add_start(start)

    def claim(self, node_id, memory_mb):
        """Keep an endpoint's memory for a load that waits for unloads there.

        Parameters
        ----------
        node_id : str
        memory_mb : int
        """
        free_mb = self.free_mb(node_id)
        self._take(node_id, free_mb)
        left_mb = self.freed_by_node.get(node_id, 0) - (memory_mb - free_mb)
        self.freed_by_node[node_id] = left_mb

    def unload(self, replica, reason):
        """Decide an unload; a replica that is going already is passed over.

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
        """Decide an adapter onto a replica.

        Parameters
        ----------
        replica : ReplicaView
        adapter : AdapterView
        """
        self.commands.append(DecideAdapter(replica.replica_id, adapter.name, self.now_ms))
        self._take(replica.node_id, adapter.memory_mb)
        self.adapter_room -= 1

    def unload_adapter(self, replica, adapter_name):
        """Decide an adapter off a replica.

        Parameters
        ----------
        replica : ReplicaView
        adapter_name : str
        """
        self.commands.append(DecideAdapterUnload(replica.replica_id, adapter_name, self.now_ms))

    def _take(self, node_id, memory_mb):
        self.taken_by_node[node_id] = self.taken_by_node.get(node_id, 0) + memory_mb

    def _count_unloading(self, replica):
        self.unloading_ids.add(replica.replica_id)
        freed_mb = self.freed_by_node.get(replica.node_id, 0)
        self.freed_by_node[replica.node_id] = freed_mb + self.replica_memory_mb(replica)

    def _reads_from_store(self, replica):
        # A load whose host is lost reads nothing any more, so that its slot is free again.
        endpoint = self.view.endpoint_by_id.get(replica.node_id)
        if endpoint is None or endpoint.lost:
            return False
        return checkpoint_tier(endpoint, replica.model, replica.version) is Tier.REMOTE
