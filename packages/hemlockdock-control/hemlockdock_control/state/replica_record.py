"""Hold what is committed about one replica."""

from dataclasses import dataclass, field

from hemlockdock_core.rows import ReplicaRow, ReplicaState


@dataclass(slots=True)
class AdapterRecord:
    """Hold what is committed about one adapter on a replica.

    Attributes
    ----------
    memory_mb : int
    fence : int
        Of the order that loads it.
    loaded : bool
    loaded_incarnation : int
        Of the agent that reported the load.
    unload_fence : int
        Of the order that unloads it; 0 where none was decided.
    """

    memory_mb: int
    fence: int
    loaded: bool = False
    loaded_incarnation: int = 0
    unload_fence: int = 0

    @property
    def usable(self):
        """Tell whether requests may be sent to it."""
        return self.loaded and not self.unload_fence


@dataclass(slots=True)
class ReplicaRecord:
    """Hold what is committed about one replica.

    Attributes
    ----------
    replica_id, model, version, node_id : str
    state : ReplicaState
    fence : int
        Of the order that loads it.
    unload_fence : int
        Of the order that unloads it; 0 where none was decided.
    memory_mb : int
    requests_per_replica : int
    decided_at_ms : int
    ready_at_ms : int
    ready_incarnation : int
        Of the agent that reported the load.
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
        """Return the memory of weights and adapters, in MB."""
        return self.memory_mb + sum(item.memory_mb for item in self.adapter_by_name.values())

    def row(self):
        """Return the row that nodes see."""
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
