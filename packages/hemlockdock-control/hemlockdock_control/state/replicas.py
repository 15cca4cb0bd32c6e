"""Keep decided replicas and the memory that they reserve."""

from hemlockdock_control.state.load_check import load_refusal
from hemlockdock_control.state.refusals import conflict, stale
from hemlockdock_control.state.replica_record import ReplicaRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.rows import ReplicaState


class Replicas:
    """Keep a record of each replica from its decision until it is certainly gone.

    Parameters
    ----------
    context : StateContext
    manifests : Manifests
    nodes : Nodes

    Attributes
    ----------
    record_by_id : dict of str to ReplicaRecord
    """

    def __init__(self, context, manifests, nodes):
        self._context = context
        self._manifests = manifests
        self._nodes = nodes
        self.record_by_id = {}
        self._ids_by_model = {}
        self._ids_by_node = {}

    def restore(self, records):
        """Replace all records by those of a snapshot.

        Parameters
        ----------
        records : list of ReplicaRecord
        """
        self.record_by_id = {}
        self._ids_by_model = {}
        self._ids_by_node = {}
        for record in records:
            self._add(record)

    def count_of(self, model):
        """Return how many replicas of a model are decided and not certainly gone.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        return len(self._ids_by_model.get(model, ()))

    def of_node(self, node_id):
        """Return the replicas of one endpoint.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        list of ReplicaRecord
        """
        return [self.record_by_id[item] for item in self._ids_by_node.get(node_id, ())]

    def reserved_mb(self, node_id):
        """Return the memory that is committed at one endpoint, in MB.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        int
        """
        node = self._nodes.record_by_id.get(node_id)
        undecided_mb = node.undecided_mb if node is not None else 0
        return undecided_mb + sum(record.reserved_mb for record in self.of_node(node_id))

    def decide_load(self, command):
        """Decide one replica and reserve its memory.

        Parameters
        ----------
        command : DecideLoad

        Returns
        -------
        CommandResult
            With the replica's id as ``owner``.
        """
        context = self._context
        refusal = load_refusal(command, self._manifests, self._nodes, self)
        if refusal is not None:
            return CommandResult(context.index, refusal)
        record = ReplicaRecord(
            f"r{context.index}",
            command.model,
            command.version,
            command.node_id,
            ReplicaState.LOADING,
            context.index,
            0,
            self._manifests.version(command.model, command.version).memory_mb,
            self._manifests.model_by_name[command.model].requests_per_replica,
            context.now_ms,
        )
        self._add(record)
        self.changed(record, "none", f"loading {record.model}/{record.version}: {command.reason}")
        return CommandResult(context.index, owner=record.replica_id)

    def decide_unload(self, command):
        """Decide that a replica goes; a repeat gives its unload a newer fence.

        Parameters
        ----------
        command : DecideUnload

        Returns
        -------
        CommandResult
        """
        record = self.record_by_id.get(command.replica_id)
        if record is None:
            return conflict(self._context.index, f"no replica {command.replica_id!r}")
        before = record.state.value
        record.state = ReplicaState.UNLOADING
        record.unload_fence = self._context.index
        self.changed(record, before, f"unloading: {command.reason}")
        return CommandResult(self._context.index)

    def ready(self, command):
        """Record that a load ended well.

        Parameters
        ----------
        command : ReplicaReady

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_id.get(command.replica_id)
        if record is None or record.fence != command.fence:
            return conflict(index, f"no replica {command.replica_id!r} of fence {command.fence}")
        if not self._nodes.current(record.node_id, command.incarnation):
            return stale(index, f"incarnation {command.incarnation} is not the current one")
        if record.state is ReplicaState.READY:
            return CommandResult(index)
        if record.state is ReplicaState.UNLOADING:
            return conflict(index, f"replica {command.replica_id!r} is being unloaded")
        record.state = ReplicaState.READY
        record.ready_at_ms = self._context.now_ms
        record.ready_incarnation = command.incarnation
        self._manifests.record_load(record.model, record.version, command.took_ms)
        self.changed(record, "loading", f"ready after {command.took_ms} ms")
        return CommandResult(index)

    def gone(self, command):
        """Record that a replica left its endpoint's memory.

        A replica that is still loading is refused: its order may yet be obeyed, so it has to be
        unloaded first.

        Parameters
        ----------
        command : ReplicaGone

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_id.get(command.replica_id)
        if record is None:
            return CommandResult(index)
        if not self._nodes.current(record.node_id, command.incarnation):
            return stale(index, f"incarnation {command.incarnation} is not the current one")
        if record.state is ReplicaState.LOADING:
            return conflict(index, f"replica {command.replica_id!r} is still loading")
        self._remove(record, command.reason)
        return CommandResult(index)

    def forget_node(self, node_id):
        """Remove the replicas of an endpoint that is certainly gone.

        Parameters
        ----------
        node_id : str
        """
        for record in self.of_node(node_id):
            self._remove(record, "its endpoint is gone")

    def follow_manifest(self):
        """Take over what the manifest in force says of the replicas that are there."""
        for record in self.record_by_id.values():
            model = self._manifests.model_by_name.get(record.model)
            if model is not None:
                record.requests_per_replica = model.requests_per_replica
                self._context.put(record.row())

    def changed(self, record, before, after):
        """Show a changed record to the nodes and in the audit trail.

        Parameters
        ----------
        record : ReplicaRecord
        before, after : str
        """
        self._context.put(record.row())
        self._context.record("control", "replica", record.replica_id, before, after)

    def _add(self, record):
        self.record_by_id[record.replica_id] = record
        # Dicts in place of sets keep the order the same at every member.
        self._ids_by_model.setdefault(record.model, {})[record.replica_id] = None
        self._ids_by_node.setdefault(record.node_id, {})[record.replica_id] = None

    def _remove(self, record, reason):
        del self.record_by_id[record.replica_id]
        del self._ids_by_model[record.model][record.replica_id]
        del self._ids_by_node[record.node_id][record.replica_id]
        self._context.delete(record.row().key)
        self._context.record(
            "control", "replica", record.replica_id, record.state.value, f"gone: {reason}"
        )
