"""Account for an order that was carried out, and tell from an inventory that one was."""

from functools import singledispatch

from hemlockdock_core.messages import (
    LoadAdapterOrder,
    LoadOrder,
    UnloadAdapterOrder,
    UnloadOrder,
)


@singledispatch
def complete(order, holdings):
    """Account for an order that was carried out.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    holdings : Holdings
    """
    raise TypeError(f"no order: {type(order).__name__}")


@complete.register
def _(order: LoadOrder, holdings):
    holdings.replica_by_id[order.replica_id].ready = True


@complete.register
def _(order: UnloadOrder, holdings):
    holdings.replica_by_id.pop(order.replica_id, None)


@complete.register
def _(order: LoadAdapterOrder, holdings):
    holdings.replica_by_id[order.replica_id].adapters.add(order.adapter)


@complete.register
def _(order: UnloadAdapterOrder, holdings):
    held = holdings.replica_by_id.get(order.replica_id)
    if held is not None:
        held.memory_by_adapter.pop(order.adapter, None)


@singledispatch
def carried_out(order, inventory):
    """Tell whether an inventory shows that an order was carried out.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    inventory : EngineInventory

    Returns
    -------
    bool
    """
    raise TypeError(f"no order: {type(order).__name__}")


@carried_out.register
def _(order: LoadOrder, inventory):
    item = inventory.item(order.replica_id)
    return item is not None and item.ready


@carried_out.register
def _(order: UnloadOrder, inventory):
    return inventory.item(order.replica_id) is None


@carried_out.register
def _(order: LoadAdapterOrder, inventory):
    item = inventory.item(order.replica_id)
    return item is not None and order.adapter in item.adapters


@carried_out.register
def _(order: UnloadAdapterOrder, inventory):
    item = inventory.item(order.replica_id)
    return item is None or order.adapter not in item.adapters
