"""Derive commands from the inventories that agents report."""

from dataclasses import dataclass, replace

from msgspec import structs

from hemlockdock_core.commands import (
    AdapterLoaded,
    DropAdapter,
    NodeInventoried,
    ReplicaGone,
    ReplicaReady,
)
from hemlockdock_core.messages import Inventory, OrderOutcome
from hemlockdock_core.rows import ReplicaState


@dataclass(frozen=True, slots=True)
class InventoryReport:
    """Hold an inventory reported by an agent.

    Attributes
    ----------
    node_id : str
    incarnation : int
    state_index : int
        Log index that the leader had applied when it received the inventory.
    inventory : Inventory
    """

    node_id: str
    incarnation: int
    state_index: int
    inventory: Inventory

    def undecided(self, state):
        """Return the models that the engine holds but the committed state does not list here.

        Parameters
        ----------
        state : ClusterState

        Returns
        -------
        list of InventoryModel
        """
        return [item for item in self.inventory.loaded if not self._is_decided(state, item)]

    def postdates(self, fence, incarnation):
        """Tell whether the inventory was taken after an order was executed.

        If so, whatever the order loaded and the inventory lacks is gone.

        Parameters
        ----------
        fence : int
            Fence of the order.
        incarnation : int
            Incarnation of the agent that executed the order.

        Returns
        -------
        bool
        """
        return self.incarnation > incarnation or self.inventory.highest_fence >= fence

    def supersedes(self, known):
        """Tell whether this report is at least as recent as another one of the same node.

        Parameters
        ----------
        known : InventoryReport or None

        Returns
        -------
        bool
        """
        if known is None:
            return True
        recency = (self.incarnation, self.inventory.highest_fence)
        return recency >= (known.incarnation, known.inventory.highest_fence)

    def without_unloaded(self, result, state):
        """Return the report without replicas unloaded since it was taken.

        Parameters
        ----------
        result : OrderResult
        state : ClusterState

        Returns
        -------
        InventoryReport
        """
        replica = state.replicas.record_by_id.get(result.replica_id)
        if result.outcome is not OrderOutcome.DONE:
            return self
        if replica is not None and result.fence != replica.unload_fence:
            return self
        # Only an unload order has a higher fence than the order that loaded the replica.
        remaining = [
            item
            for item in self.inventory.loaded
            if item.replica_id != result.replica_id or result.fence <= item.fence
        ]
        return replace(self, inventory=structs.replace(self.inventory, loaded=remaining))

    def _is_decided(self, state, item):
        replica = state.replicas.record_by_id.get(item.replica_id)
        return (
            replica is not None
            and replica.node_id == self.node_id
            and (replica.model, replica.version) == (item.model, item.version)
        )


def inventory_commands(report, state, at_ms):
    """Return the commands that reconcile the committed state with an inventory.

    Parameters
    ----------
    report : InventoryReport
    state : ClusterState
    at_ms : int

    Returns
    -------
    list of Command
    """
    node = state.nodes.record_by_id.get(report.node_id)
    if node is None or node.incarnation != report.incarnation or node.gone:
        return []
    commands = []
    undecided_mb = sum(item.memory_mb for item in report.undecided(state))
    loaded_by_id = {item.replica_id: item for item in report.inventory.loaded}
    for replica in state.replicas.of_node(report.node_id):
        item = loaded_by_id.get(replica.replica_id)
        if item is None:
            commands.extend(_missing_replica_commands(replica, report, at_ms))
        else:
            commands.extend(_loaded_replica_commands(replica, item, report, at_ms))
    # Comes last, so that losses are recorded before the node takes new decisions.
    if not node.inventoried or node.undecided_mb != undecided_mb:
        commands.append(NodeInventoried(report.node_id, report.incarnation, undecided_mb, at_ms))
    return commands


def _missing_replica_commands(replica, report, at_ms):
    inventory = report.inventory
    if replica.state is not ReplicaState.READY:
        # Its order may still be executed, so only an unload order removes it.
        return
    if replica.fence in inventory.orders_in_flight:
        return
    if not report.postdates(replica.fence, replica.ready_incarnation):
        return
    yield ReplicaGone(replica.replica_id, report.incarnation, at_ms, "not in the inventory")


def _loaded_replica_commands(replica, item, report, at_ms):
    if replica.state is ReplicaState.LOADING and item.fence == replica.fence:
        if replica.fence not in report.inventory.orders_in_flight:
            yield ReplicaReady(
                replica.replica_id, replica.fence, report.incarnation, at_ms, took_ms=0
            )
        return
    if replica.state is not ReplicaState.READY:
        return
    for name, adapter in replica.adapter_by_name.items():
        if adapter.fence in report.inventory.orders_in_flight:
            continue
        if name in item.adapters and not adapter.loaded:
            yield AdapterLoaded(replica.replica_id, name, report.incarnation, at_ms)
        if name in item.adapters or not adapter.loaded:
            continue
        if report.postdates(adapter.fence, adapter.loaded_incarnation):
            yield DropAdapter(replica.replica_id, name, report.incarnation, at_ms)
