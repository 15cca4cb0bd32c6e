"""Account for what one engine holds."""

from hemlockdock_agent.orders.held_replica import HeldReplica
from hemlockdock_core.messages import LoadedModel


class Holdings:
    """Account for replicas and memory at one engine.

    A replica counts from before its load order goes out until the engine certainly lost it.

    Parameters
    ----------
    memory_mb : int
        Accelerator memory by the settings.

    Attributes
    ----------
    replica_by_id : dict of str to HeldReplica
    changed_at_by_id : dict of str to int
        Count of changes at which an order last touched a replica.
    changes : int
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
        """Return the memory that is taken or promised, in MB."""
        held_mb = sum(replica.total_mb for replica in self.replica_by_id.values())
        return held_mb + self._unaccounted_mb

    def fits(self, memory_mb):
        """Tell whether so much memory is free, by the settings and by the engine.

        Parameters
        ----------
        memory_mb : int

        Returns
        -------
        bool
        """
        return self.reserved_mb + memory_mb <= min(self._settings_mb, self._engine_mb)

    def mark_changed(self, replica_id):
        """Note that inventories asked for before now say nothing about a replica.

        Parameters
        ----------
        replica_id : str
        """
        self.change_count += 1
        self.changed_at_by_id[replica_id] = self.change_count

    def reconcile(self, inventory, as_of, open_ids):
        """Take over what the engine reports, except where orders have moved on since.

        Parameters
        ----------
        inventory : EngineInventory
        asked_at : int
        open_ids : set of str
            Replicas with orders that have not ended.

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
        # Later inventories were asked for later, so that these entries say nothing more.
        for replica_id, changed_at in list(self.changed_at_by_id.items()):
            if changed_at <= as_of:
                del self.changed_at_by_id[replica_id]
        return changed

    def loaded_models(self):
        """Return what the engine holds, for control.

        Returns
        -------
        list of LoadedModel
        """
        models = []
        for replica in self.replica_by_id.values():
            models.append(
                LoadedModel(
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
        # Adapters found after a restart have no known size, and engines hold memory of their own.
        held_mb = sum(replica.total_mb for replica in self.replica_by_id.values())
        self._unaccounted_mb = max(inventory.used_mb - held_mb, 0)
