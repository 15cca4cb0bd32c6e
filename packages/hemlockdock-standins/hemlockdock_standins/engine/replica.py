"""Hold one replica in a stand-in engine."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class EngineReplica:
    """Hold one replica.

    Attributes
    ----------
    replica_id, model, version : str
    memory_mb : int
    fence : int
    ready : bool
        False while it loads.
    memory_by_adapter : dict of str to int
    """

    replica_id: str
    model: str
    version: str
    memory_mb: int
    fence: int
    ready: bool = False
    memory_by_adapter: dict = field(default_factory=dict)

    @property
    def total_mb(self):
        """Return its memory with that of its adapters, in MB."""
        return self.memory_mb + sum(self.memory_by_adapter.values())
