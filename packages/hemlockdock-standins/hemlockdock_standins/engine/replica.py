"""Replica of a model in a stand-in engine."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class EngineReplica:
    """One loaded or loading replica.

    Attributes
    ----------
    replica_id, model, version : str
    memory_mb : int
    fence : int
    ready : bool
        False while the replica is loading.
    memory_by_adapter : dict of str to int
        Memory of each loaded adapter, in MB.
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
        """Memory of the replica and its adapters, in MB."""
        return self.memory_mb + sum(self.memory_by_adapter.values())
