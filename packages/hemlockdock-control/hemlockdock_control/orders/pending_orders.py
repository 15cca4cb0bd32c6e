"""Determine which orders to send and when to repeat them."""

from dataclasses import dataclass

from hemlockdock_core.manifest import Fencing
from hemlockdock_core.messages import (
    LoadAdapterOrder,
    LoadOrder,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.rows import ReplicaState

REPEAT_MS = 2_000


@dataclass(frozen=True, slots=True)
class AddressedOrder:
    """Hold an order and the node to send it to.

    Attributes
    ----------
    node_id : str
    address : str
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    """

    node_id: str
    address: str
    order: object


class PendingOrders:
    """Derive orders from the committed state.

    An order is open while the committed state lacks its effect. A new leader therefore finds
    all open orders in the state, and nothing here is persisted. Orders to one agent are sent
    in ascending order of their fences. An agent whose engine ignores fences gets one order at
    a time: the next order waits for the result of the previous one.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    """

    def __init__(self, settings):
        self._timeout_ms = settings.agent.order_timeout_ms
        self._sent_ms_by_key = {}

    def due(self, state, report_by_id, now_ms):
        """Return the orders to send now.

        Parameters
        ----------
        state : ClusterState
        report_by_id : dict of str to InventoryReport
            Latest inventory of each node.
        now_ms : float

        Returns
        -------
        list of AddressedOrder
        """
        addressed_orders = []
        open_keys = set()
        for node_id, orders in self._open_orders(state, report_by_id).items():
            node = state.nodes.record_by_id[node_id]
            orders.sort(key=lambda order: order.fence)
            if self._requires_serial_orders(state, node):
                orders = orders[:1]
            for order in orders:
                key = (node_id, node.incarnation, order.replica_id, order.fence)
                open_keys.add(key)
                if now_ms - self._sent_ms_by_key.get(key, -REPEAT_MS) < REPEAT_MS:
                    continue
                self._sent_ms_by_key[key] = now_ms
                addressed_orders.append(AddressedOrder(node_id, node.info.address, order))
        for key in set(self._sent_ms_by_key) - open_keys:
            del self._sent_ms_by_key[key]
        return addressed_orders

    def clear_sent(self):
        """Forget which orders were sent, when this member becomes leader."""
        self._sent_ms_by_key.clear()

    def _open_orders(self, state, report_by_id):
        orders_by_node = {}
        for replica in state.replicas.record_by_id.values():
            node = state.nodes.record_by_id.get(replica.node_id)
            if not _accepts_orders(node):
                continue
            orders = orders_by_node.setdefault(replica.node_id, [])
            orders.extend(self._replica_orders(replica, node))
        for node_id, report in report_by_id.items():
            node = state.nodes.record_by_id.get(node_id)
            if not _accepts_orders(node) or report.incarnation != node.incarnation:
                continue
            undecided = report.undecided(state)
            if not undecided:
                continue
            orders = orders_by_node.setdefault(node_id, [])
            # Undecided models are unloaded before new ones are loaded.
            orders[:] = [item for item in orders if not isinstance(item, LoadOrder)]
            fence = max([report.state_index, *(order.fence for order in orders)])
            orders.extend(
                UnloadOrder(item.replica_id, fence, node.incarnation) for item in undecided
            )
        return orders_by_node

    def _replica_orders(self, replica, node):
        if replica.state is ReplicaState.UNLOADING:
            yield UnloadOrder(replica.replica_id, replica.unload_fence, node.incarnation)
            return
        if replica.state is ReplicaState.LOADING:
            yield LoadOrder(
                replica.replica_id,
                replica.fence,
                replica.model,
                replica.version,
                replica.memory_mb,
                replica.requests_per_replica,
                self._timeout_ms,
                node.incarnation,
            )
            return
        for name, adapter in replica.adapter_by_name.items():
            if adapter.unload_fence:
                yield UnloadAdapterOrder(
                    replica.replica_id, adapter.unload_fence, name, node.incarnation
                )
            elif not adapter.loaded:
                yield LoadAdapterOrder(
                    replica.replica_id,
                    adapter.fence,
                    name,
                    adapter.memory_mb,
                    self._timeout_ms,
                    node.incarnation,
                )

    def _requires_serial_orders(self, state, node):
        group = state.manifests.group_by_name.get(node.info.group)
        return group is None or group.fencing is Fencing.IGNORED


def _accepts_orders(node):
    return node is not None and node.inventoried and not node.lost and not node.gone
