"""Loaded replicas of a stand-in engine, and the admission of orders."""

from hemlockdock_standins.engine.replica import EngineReplica

OK = 200
REFUSED = 409
NO_MEMORY = 507


class EngineState:
    """Track the loaded replicas and the highest fence of a stand-in engine.

    Parameters
    ----------
    options : EngineOptions
    ledger : StandInLedger

    Attributes
    ----------
    replica_by_id : dict of str to EngineReplica
    highest_fence : int
    role : str
    """

    def __init__(self, options, ledger):
        self._options = options
        self._ledger = ledger
        self.replica_by_id = {}
        self.highest_fence = 0
        self.role = "serve"

    @property
    def used_mb(self):
        """Memory in use, in MB."""
        return sum(replica.total_mb for replica in self.replica_by_id.values())

    def admit_fence(self, fence):
        """Decide whether an order's fence is admissible, and count it if it is outdated.

        Parameters
        ----------
        fence : int

        Returns
        -------
        bool
            Whether the order may be executed.
        """
        if fence < self.highest_fence:
            self._ledger.fence_violations += 1
            if self._options.refuses_old_fences:
                return False
        self.highest_fence = max(self.highest_fence, fence)
        return True

    def begin_load(self, order):
        """Reserve memory for a replica.

        Parameters
        ----------
        order : dict

        Returns
        -------
        EngineReplica or None
            None if there is not enough memory.
        """
        replica_id = order["replica_id"]
        if replica_id in self.replica_by_id:
            return self.replica_by_id[replica_id]
        if not self._check_free_memory(order["memory_mb"]):
            return None
        replica = EngineReplica(
            replica_id, order["model"], order["version"], order["memory_mb"], order["fence"]
        )
        self.replica_by_id[replica_id] = replica
        self._ledger.load(replica.model)
        return replica

    def unload(self, replica_id):
        """Unload a replica; does nothing for an unknown one.

        Parameters
        ----------
        replica_id : str
        """
        replica = self.replica_by_id.pop(replica_id, None)
        if replica is not None:
            self._ledger.unload(replica.model)

    def begin_adapter(self, order):
        """Reserve memory for an adapter.

        Parameters
        ----------
        order : dict

        Returns
        -------
        bool
            False if the replica is unknown or there is not enough memory.
        """
        replica = self.replica_by_id.get(order["replica_id"])
        if replica is None:
            return False
        if order["adapter"] in replica.memory_by_adapter:
            return True
        if not self._check_free_memory(order["memory_mb"]):
            return False
        replica.memory_by_adapter[order["adapter"]] = order["memory_mb"]
        return True

    def clear(self):
        """Discard all state, as a crash does."""
        for replica_id in list(self.replica_by_id):
            self.unload(replica_id)
        self.highest_fence = 0

    def inventory(self):
        """Return the loaded replicas in JSON form.

        Returns
        -------
        list of dict
        """
        replicas = []
        for replica in self.replica_by_id.values():
            replicas.append(
                {
                    "replica_id": replica.replica_id,
                    "model": replica.model,
                    "version": replica.version,
                    "memory_mb": replica.memory_mb,
                    "fence": replica.fence,
                    "ready": replica.ready,
                    "adapters": sorted(replica.memory_by_adapter),
                }
            )
        return replicas

    def _check_free_memory(self, memory_mb):
        if self.used_mb + memory_mb <= self._options.memory_mb:
            return True
        self._ledger.memory_violations += 1
        return False
