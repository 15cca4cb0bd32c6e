"""Routing table row of a pool of interchangeable endpoints."""

import msgspec

from hemlockdock_core.rows.base import BaseRow


class ModelSpec(msgspec.Struct, frozen=True, array_like=True):
    """A model that the engines of a pool can load.

    Attributes
    ----------
    name : str
    weights_mb : float
    adapters : int
        Number of adapters of the model.
    adapter_mb : float
    store_load_ms : int
        Duration of a load from the weight store at full bandwidth.
    memory_load_ms : int
        Duration of a load if the weights are cached in the host's memory.
    disk_load_ms : int
        Duration of a load if the weights are cached on the host's disk.
    """

    name: str
    weights_mb: float
    adapters: int
    adapter_mb: float
    store_load_ms: int
    memory_load_ms: int
    disk_load_ms: int


class EngineSpec(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of the engines of a pool.

    Attributes
    ----------
    slots : int
        Number of requests that an engine runs concurrently.
    cache_tokens : int
        Capacity for the tokens of prompts and outputs.
    tokens_per_event : int
    weights_mb : float
        Memory for weights and adapters, in MB.
    adapter_slots : int
    host_cache_mb : float
        Memory of the host for cached weights, in MB.
    disk_cache_mb : float
        Disk space of the host for cached weights, in MB.
    store_loads_per_s : float
        Rate at which loads from the weight store may start, for all engines together.
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
        """Return the description of a model, or None if the engines can't load it.

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
    """A pool of interchangeable endpoints.

    Attributes
    ----------
    name : str
    probe_path : str
        Path at which an endpoint returns its id.
    most_connections : int
        Maximum connections per endpoint, from all hosts together; 0 if not given.
    engine : EngineSpec or None
        None for a pool of services without models.
    """

    name: str
    probe_path: str
    most_connections: int
    engine: EngineSpec | None = None

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"pool/{self.name}"
