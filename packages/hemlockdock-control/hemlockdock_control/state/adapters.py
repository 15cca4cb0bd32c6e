"""Keep which adapters are decided onto replicas, and the memory that they reserve."""

from hemlockdock_control.state.refusals import conflict, refused, stale
from hemlockdock_control.state.replica_record import AdapterRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.rows import ReplicaState


class Adapters:
    """Decide adapters onto ready replicas, and record what became of them.

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
        """Decide an adapter onto a ready replica and reserve its memory.

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
        self._replicas.changed(record, "none", f"loading adapter {command.adapter}")
        return CommandResult(index)

    def decide_unload(self, command):
        """Decide that an adapter goes; a repeat gives its unload a newer fence.

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
        self._replicas.changed(record, f"adapter {command.adapter}", f"unloading {command.adapter}")
        return CommandResult(index)

    def loaded(self, command):
        """Record that an adapter is usable.

        Parameters
        ----------
        command : AdapterLoaded

        Returns
        -------
        CommandResult
        """
        return self._settle(command, "loaded")

    def drop(self, command):
        """Record that an adapter left its replica.

        Parameters
        ----------
        command : DropAdapter

        Returns
        -------
        CommandResult
        """
        return self._settle(command, "dropped")

    def _settle(self, command, outcome):
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
        self._replicas.changed(record, f"adapter {command.adapter}", f"{outcome} {command.adapter}")
        return CommandResult(index)
