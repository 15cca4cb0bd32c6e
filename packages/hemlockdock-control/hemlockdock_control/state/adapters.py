"""Track the adapters placed on replicas and the memory reserved for them."""

from hemlockdock_control.state.refusals import conflict, refused, stale
from hemlockdock_control.state.replica_record import AdapterRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.rows import ReplicaState


class Adapters:
    """Apply adapter load and unload decisions, and record their outcomes.

    Parameters
    ----------
    context : StateContext
    manifests : Manifests
    nodes : Nodes
    replicas : Replicas
    """

    def __init__(self, context, manifests, nodes, replicas):
        self._context = context
        self._manifests = manifests
        self._nodes = nodes
        self._replicas = replicas

    def decide(self, command):
        """Place an adapter on a ready replica and reserve its memory.

        Parameters
        ----------
        command : DecideAdapter

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self._replicas.record_by_id.get(command.replica_id)
        adapter = self._manifests.adapter_by_name.get(command.adapter)
        if record is None or record.state is not ReplicaState.READY:
            return conflict(index, f"replica {command.replica_id!r} is not ready")
        if adapter is None or adapter.model != record.model:
            message = f"no adapter {command.adapter!r} of model {record.model!r}"
            return refused(index, ErrorKind.UNKNOWN_MODEL, message)
        if command.adapter in record.adapter_by_name:
            return CommandResult(index)
        node = self._nodes.record_by_id[record.node_id]
        if self._replicas.reserved_mb(record.node_id) + adapter.memory_mb > node.info.memory_mb:
            message = f"{record.node_id!r} has no {adapter.memory_mb} MB left"
            return refused(index, ErrorKind.NO_CAPACITY, message)
        record.adapter_by_name[command.adapter] = AdapterRecord(adapter.memory_mb, index)
        self._replicas.publish_change(record, "none", f"loading adapter {command.adapter}")
        return CommandResult(index)

    def decide_unload(self, command):
        """Mark an adapter for unloading.

        A repeated decision gives the unload order a newer fence.

        Parameters
        ----------
        command : DecideAdapterUnload

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self._replicas.record_by_id.get(command.replica_id)
        if record is None or command.adapter not in record.adapter_by_name:
            message = f"no adapter {command.adapter!r} on {command.replica_id!r}"
            return conflict(index, message)
        record.adapter_by_name[command.adapter].unload_fence = index
        self._replicas.publish_change(
            record, f"adapter {command.adapter}", f"unloading {command.adapter}"
        )
        return CommandResult(index)

    def mark_loaded(self, command):
        """Mark an adapter as loaded.

        Parameters
        ----------
        command : AdapterLoaded

        Returns
        -------
        CommandResult
        """
        return self._record_outcome(command, "loaded")

    def record_drop(self, command):
        """Remove an adapter that was unloaded from its replica.

        Parameters
        ----------
        command : DropAdapter

        Returns
        -------
        CommandResult
        """
        return self._record_outcome(command, "dropped")

    def _record_outcome(self, command, outcome):
        index = self._context.index
        record = self._replicas.record_by_id.get(command.replica_id)
        if record is None or command.adapter not in record.adapter_by_name:
            message = f"no adapter {command.adapter!r} on {command.replica_id!r}"
            return conflict(index, message)
        if not self._nodes.current(record.node_id, command.incarnation):
            return stale(index, f"incarnation {command.incarnation} is not the current one")
        if outcome == "dropped":
            del record.adapter_by_name[command.adapter]
        else:
            adapter = record.adapter_by_name[command.adapter]
            adapter.loaded = True
            adapter.loaded_incarnation = command.incarnation
        self._replicas.publish_change(
            record, f"adapter {command.adapter}", f"{outcome} {command.adapter}"
        )
        return CommandResult(index)
