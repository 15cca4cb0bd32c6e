"""Define the inventory that an engine reports."""

import msgspec


class EngineModel(msgspec.Struct, frozen=True):
    """Describe one replica that an engine holds.

    Attributes
    ----------
    replica_id, model, version : str
    memory_mb : int
        Excluding the memory of its adapters.
    fence : int
    ready : bool
        False while the replica is loading.
    adapters : list of str
    """

    replica_id: str
    model: str
    version: str
    memory_mb: int
    fence: int = 0
    ready: bool = True
    adapters: list[str] = []


class EngineInventory(msgspec.Struct, frozen=True):
    """Describe the replicas, memory and orders of an engine.

    Attributes
    ----------
    boot_id : str
        Changes with every start of the engine's process.
    memory_mb, used_mb : int
    loaded : list of EngineModel
    highest_fence : int
        0 if the engine does not track fences.
    orders_in_flight : list of int
        Fences of the orders that the engine is executing.
    cached_on_disk, cached_in_memory : list of str
        ``model/version`` names.
    """

    boot_id: str
    memory_mb: int
    used_mb: int
    loaded: list[EngineModel] = []
    highest_fence: int = 0
    orders_in_flight: list[int] = []
    cached_on_disk: list[str] = []
    cached_in_memory: list[str] = []

    def find_replica(self, replica_id):
        """Return the entry of a replica, or None.

        Parameters
        ----------
        replica_id : str

        Returns
        -------
        EngineModel or None
        """
        for item in self.loaded:
            if item.replica_id == replica_id:
                return item
        return None
