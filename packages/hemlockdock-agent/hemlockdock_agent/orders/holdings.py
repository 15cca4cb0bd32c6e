"""Track the replicas and the memory of one engine."""

from hemlockdock_agent.orders.held_replica import HeldReplica
from hemlockdock_core.messages import InventoryModel


class Holdings:
    """Track the replicas and the memory of one engine.

    A replica counts from before its load order is sent until it is certain that the engine no
    longer holds it.

    Parameters
    ----------
    memory_mb : int
        Accelerator memory according to the settings.

    Attributes
    ----------
    replica_by_id : dict of str to HeldReplica
    changed_at_by_id : dict of str to int
        Change count at which an order last affected a replica.
    change_count : int
        Number of changes made by orders so far.
    """

    def __init__(self, memory_mb):
        self._settings_mb = memory_mb
        self._engine_mb = memory_mb
        self._unaccounted_mb = 0
        self.replica_by_id = {}
        self.changed_at_by_id = {}
        self.change_count = 0

    @property
    def reserved_mb(self):
        """Return the memory that is used or reserved, in MB."""
        held_mb = sum(replica.total_mb for replica in self.replica_by_id.values())
        return held_mb + self._unaccounted_mb

    def fits(self, memory_mb):
        """Return whether an amount of memory is free according to the settings and the engine.

        Parameters
        ----------
        memory_mb : int

        Returns
        -------
        bool
        """
        return self.reserved_mb + memory_mb <= min(self._settings_mb, self._engine_mb)

    def mark_changed(self, replica_id):
        """Invalidate, for one replica, all inventories that were requested before now.

        Parameters
        ----------
        replica_id : str
        """
        self.change_count += 1
        self.changed_at_by_id[replica_id] = self.change_count

    def reconcile(self, inventory, as_of, open_ids):
        """Update the replicas from an inventory, except those that orders have changed since.

        Parameters
        ----------
        inventory : EngineInventory
        as_of : int
            Change count when the inventory was requested.
        open_ids : set of str
            Ids of replicas with orders that have not ended.

        Returns
        -------
        bool
            Whether anything changed.
        """
        self._engine_mb = inventory.memory_mb
        current_ids = {
            replica_id
            for replica_id in [*self.replica_by_id, *(item.replica_id for item in inventory.loaded)]
            if replica_id not in open_ids and self.changed_at_by_id.get(replica_id, 0) <= as_of
        }
        changed = False
        reported_ids = set()
        for item in inventory.loaded:
            reported_ids.add(item.replica_id)
            if item.replica_id in current_ids:
                changed |= self._apply_item(item)
        for replica_id in current_ids - reported_ids:
            del self.replica_by_id[replica_id]
            changed = True
        if as_of == self.change_count and not open_ids:
            self._update_unaccounted(inventory)
        # All inventories processed from now on were requested later, so these entries cannot
        # exclude a replica any more.
        for replica_id, changed_at in list(self.changed_at_by_id.items()):
            if changed_at <= as_of:
                del self.changed_at_by_id[replica_id]
        return changed

    def loaded_models(self):
        """Return the replicas that the engine holds, as messages for control.

        Returns
        -------
        list of InventoryModel
        """
        models = []
        for replica in self.replica_by_id.values():
            models.append(
                InventoryModel(
                    replica.replica_id,
                    replica.model,
                    replica.version,
                    replica.total_mb,
                    replica.fence,
                    sorted(replica.adapters),
                )
            )
        return models

    def _apply_item(self, item):
        replica = self.replica_by_id.get(item.replica_id)
        if replica is None:
            replica = HeldReplica(
                item.replica_id, item.model, item.version, item.memory_mb, item.fence, 0, item.ready
            )
            replica.adapters = set(item.adapters)
            replica.memory_by_adapter = dict.fromkeys(item.adapters, 0)
            self.replica_by_id[item.replica_id] = replica
            return True
        adapters = set(item.adapters)
        if replica.ready == item.ready and replica.adapters == adapters:
            return False
        replica.ready = item.ready
        replica.adapters = adapters
        known = replica.memory_by_adapter
        replica.memory_by_adapter = {name: known.get(name, 0) for name in adapters}
        return True

    def _update_unaccounted(self, inventory):
        # Adapters found after an agent restart have no known size, and engines use memory besides
        # that of their replicas.
        held_mb = sum(replica.total_mb for replica in self.replica_by_id.values())
        self._unaccounted_mb = max(inventory.used_mb - held_mb, 0)
