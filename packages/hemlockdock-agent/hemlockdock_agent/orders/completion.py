"""Apply completed orders to the holdings, and detect completion from an inventory."""

from functools import singledispatch

from hemlockdock_core.messages import (
    LoadAdapterOrder,
    LoadOrder,
    UnloadAdapterOrder,
    UnloadOrder,
)


@singledispatch
def apply_completion(order, holdings):
    """Update the holdings for an order that the engine completed.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    holdings : Holdings
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


@apply_completion.register
def _(order: LoadOrder, holdings):
    holdings.replica_by_id[order.replica_id].ready = True


@apply_completion.register
def _(order: UnloadOrder, holdings):
    holdings.replica_by_id.pop(order.replica_id, None)


@apply_completion.register
def _(order: LoadAdapterOrder, holdings):
    holdings.replica_by_id[order.replica_id].adapters.add(order.adapter)


@apply_completion.register
def _(order: UnloadAdapterOrder, holdings):
    held = holdings.replica_by_id.get(order.replica_id)
    if held is not None:
        held.memory_by_adapter.pop(order.adapter, None)


@singledispatch
def is_completed(order, inventory):
    """Return whether an inventory shows that an order was completed.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    inventory : EngineInventory

    Returns
    -------
    bool
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


@is_completed.register
def _(order: LoadOrder, inventory):
    item = inventory.find_replica(order.replica_id)
    return item is not None and item.ready


@is_completed.register
def _(order: UnloadOrder, inventory):
    return inventory.find_replica(order.replica_id) is None


@is_completed.register
def _(order: LoadAdapterOrder, inventory):
    item = inventory.find_replica(order.replica_id)
    return item is not None and order.adapter in item.adapters


@is_completed.register
def _(order: UnloadAdapterOrder, inventory):
    item = inventory.find_replica(order.replica_id)
    return item is None or order.adapter not in item.adapters
