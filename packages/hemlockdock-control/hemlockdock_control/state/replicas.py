"""Track decided replicas and the memory reserved for them."""

from hemlockdock_control.state.load_check import load_refusal
from hemlockdock_control.state.refusals import conflict, stale
from hemlockdock_control.state.replica_record import ReplicaRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.rows import ReplicaState


class Replicas:
    """Replicas, from the decision to load them until they are known to be gone.

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
        """Replace all records with those of a snapshot.

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
        """Return the number of replicas of a model that are decided and not known to be gone.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        return len(self._ids_by_model.get(model, ()))

    def of_node(self, node_id):
        """Return the replicas of an endpoint.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        list of ReplicaRecord
        """
        return [self.record_by_id[item] for item in self._ids_by_node.get(node_id, ())]

    def reserved_mb(self, node_id):
        """Return the memory in use or reserved at an endpoint, in MB.

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
        """Create a replica and reserve its memory.

        Parameters
        ----------
        command : DecideLoad

        Returns
        -------
        CommandResult
            The replica id is returned as ``owner``.
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
        self.publish_change(
            record, "none", f"loading {record.model}/{record.version}: {command.reason}"
        )
        return CommandResult(context.index, owner=record.replica_id)

    def decide_unload(self, command):
        """Mark a replica for unloading.

        A repeated decision gives the unload order a newer fence.

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
        self.publish_change(record, before, f"unloading: {command.reason}")
        return CommandResult(self._context.index)

    def mark_ready(self, command):
        """Mark a replica as ready after a successful load.

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
        self.publish_change(record, "loading", f"ready after {command.took_ms} ms")
        return CommandResult(index)

    def record_gone(self, command):
        """Remove a replica that is no longer in the memory of its endpoint.

        The command is refused while the replica is loading: the endpoint may still execute the
        load order, so the replica must be unloaded first.

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

    def remove_replicas_of(self, node_id):
        """Remove the replicas of an endpoint that is known to be gone.

        Parameters
        ----------
        node_id : str
        """
        for record in self.of_node(node_id):
            self._remove(record, "its endpoint is gone")

    def apply_manifest(self):
        """Update existing replicas with the settings of the current manifest."""
        for record in self.record_by_id.values():
            model = self._manifests.model_by_name.get(record.model)
            if model is not None:
                record.requests_per_replica = model.requests_per_replica
                self._context.put(record.row())

    def publish_change(self, record, before, after):
        """Update the row of a changed replica and append an audit record.

        Parameters
        ----------
        record : ReplicaRecord
        before, after : str
        """
        self._context.put(record.row())
        self._context.record("control", "replica", record.replica_id, before, after)

    def _add(self, record):
        self.record_by_id[record.replica_id] = record
        # Dicts keep insertion order, unlike sets, so all members iterate in the same order.
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
