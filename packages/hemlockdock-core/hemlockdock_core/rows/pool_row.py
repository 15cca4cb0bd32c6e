"""Describe one pool: endpoints that can stand in for each other."""

import msgspec

from hemlockdock_core.rows.base import BaseRow


class ModelSpec(msgspec.Struct, frozen=True, array_like=True):
    """Describe one model that a pool's engines can load.

    Attributes
    ----------
    name : str
    weights_mb : float
    adapters : int
        How many adapters it has.
    adapter_mb : float
    store_load_ms : int
        Time of a load from the weight store at full speed.
    memory_load_ms : int
        Time of a load whose weights are in the host's memory.
    disk_load_ms : int
        Time of a load whose weights are on the host's disk.
    """

    name: str
    weights_mb: float
    adapters: int
    adapter_mb: float
    store_load_ms: int
    memory_load_ms: int
    disk_load_ms: int


class EngineSpec(msgspec.Struct, frozen=True, array_like=True):
    """Describe the engines of a pool.

    Attributes
    ----------
    slots : int
        Requests that one runs at once.
    cache_tokens : int
        Tokens that its memory holds for prompts and answers.
    tokens_per_event : int
    weights_mb : float
        Memory for weights and adapters.
    adapter_slots : int
    host_cache_mb : float
        Memory of the host for copies of weights.
    disk_cache_mb : float
        Disk of the host for copies of weights.
    store_loads_per_s : float
        Loads that may begin at the weight store, over all engines.
    models : tuple of ModelSpec
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int
    weights_mb: float
    adapter_slots: int
    host_cache_mb: float
    disk_cache_mb: float
    store_loads_per_s: float
    models: tuple[ModelSpec, ...]

    def model(self, name):
        """Return a model's description, None for one that the engines don't have.

        Parameters
        ----------
        name : str

        Returns
        -------
        ModelSpec or None
        """
        for spec in self.models:
            if spec.name == name:
                return spec
        return None


class PoolRow(BaseRow, frozen=True):
    """Describe one pool.

    Attributes
    ----------
    name : str
    probe_path : str
    most_connections : int
        Connections that one endpoint accepts, from all hosts together; 0 where none is told.
    engine : EngineSpec or None
        None for a pool of plain services.
    """

    name: str
    probe_path: str
    most_connections: int
    engine: EngineSpec | None = None

    @property
    def key(self):
        """Return the row's key."""
        return f"pool/{self.name}"
