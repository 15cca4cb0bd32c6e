"""Committed state of a replica and its adapters."""

from dataclasses import dataclass, field

from hemlockdock_core.rows import ReplicaRow, ReplicaState


@dataclass(slots=True)
class AdapterRecord:
    """Committed state of an adapter on a replica.

    Attributes
    ----------
    memory_mb : int
    fence : int
        Fence of the load order.
    loaded : bool
    loaded_incarnation : int
        Incarnation of the agent that reported the load.
    unload_fence : int
        Fence of the unload order; 0 if no unload was decided.
    """

    memory_mb: int
    fence: int
    loaded: bool = False
    loaded_incarnation: int = 0
    unload_fence: int = 0

    @property
    def usable(self):
        """Return whether requests may use the adapter."""
        return self.loaded and not self.unload_fence


@dataclass(slots=True)
class ReplicaRecord:
    """Committed state of a replica.

    Attributes
    ----------
    replica_id, model, version, node_id : str
    state : ReplicaState
    fence : int
        Fence of the load order.
    unload_fence : int
        Fence of the unload order; 0 if no unload was decided.
    memory_mb : int
    requests_per_replica : int
    decided_at_ms : int
    ready_at_ms : int
    ready_incarnation : int
        Incarnation of the agent that reported the load.
    adapter_by_name : dict of str to AdapterRecord
    """

    replica_id: str
    model: str
    version: str
    node_id: str
    state: ReplicaState
    fence: int
    unload_fence: int
    memory_mb: int
    requests_per_replica: int
    decided_at_ms: int
    ready_at_ms: int = 0
    ready_incarnation: int = 0
    adapter_by_name: dict[str, AdapterRecord] = field(default_factory=dict)

    @property
    def reserved_mb(self):
        """Return the memory reserved for weights and adapters, in MB."""
        return self.memory_mb + sum(item.memory_mb for item in self.adapter_by_name.values())

    def row(self):
        """Return the routing table row."""
        usable = sorted(name for name, item in self.adapter_by_name.items() if item.usable)
        return ReplicaRow(
            self.replica_id,
            self.model,
            self.version,
            self.node_id,
            self.state,
            self.fence,
            usable,
            self.requests_per_replica,
        )
