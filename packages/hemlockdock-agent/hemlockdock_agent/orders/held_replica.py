"""Hold what the agent knows of one replica at its engine."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class HeldReplica:
    """Hold what the agent knows of one replica; it counts from the order on.

    Attributes
    ----------
    replica_id, model, version : str
    memory_mb : int
    fence : int
        Of the decision, or as the engine reports it.
    requests_per_replica : int
        0 where only the routing table knows.
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
        """Return its memory with that of its adapters, in MB."""
        return self.memory_mb + sum(self.memory_by_adapter.values())
