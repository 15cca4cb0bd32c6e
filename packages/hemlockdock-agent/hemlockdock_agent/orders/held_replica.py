"""Define the agent's state of one replica at its engine."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class HeldReplica:
    """Hold the state of one replica, from its load order until it is unloaded.

    Attributes
    ----------
    replica_id, model, version : str
    memory_mb : int
    fence : int
        Fence of the load order, or the one that the engine reports.
    requests_per_replica : int
        Maximum number of concurrent requests; 0 if only the routing table has it.
    ready : bool
    memory_by_adapter : dict of str to int
        Adapters that are loaded or being loaded, with their memory in MB.
    adapters : set of str
        Adapters that are usable.
    """

    replica_id: str
    model: str
    version: str
    memory_mb: int
    fence: int
    requests_per_replica: int = 0
    ready: bool = False
    memory_by_adapter: dict = field(default_factory=dict)
    adapters: set = field(default_factory=set)

    @property
    def total_mb(self):
        """Return the memory of the replica and its adapters, in MB."""
        return self.memory_mb + sum(self.memory_by_adapter.values())
