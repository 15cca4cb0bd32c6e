"""Check orders and reserve memory before they are sent to the engine."""

from functools import singledispatch

from hemlockdock_agent.orders.held_replica import HeldReplica
from hemlockdock_core.messages import (
    LoadAdapterOrder,
    LoadOrder,
    OrderOutcome,
    UnloadAdapterOrder,
    UnloadOrder,
)


@singledispatch
def prepare(order, holdings):
    """Check an order and reserve the memory it needs.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    holdings : Holdings

    Returns
    -------
    tuple of (OrderOutcome, str) or None
        Outcome and detail if the order must not or need not be sent to the engine, else None.
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


@prepare.register
def _(order: LoadOrder, holdings):
    held = holdings.replica_by_id.get(order.replica_id)
    if held is not None:
        if (held.model, held.version) != (order.model, order.version):
            return OrderOutcome.FAILED, "another model is held by this id"
        held.fence = order.fence
        held.requests_per_replica = order.requests_per_replica
        return (OrderOutcome.DONE, "held already") if held.ready else None
    if not holdings.fits(order.memory_mb):
        return OrderOutcome.REFUSED_NO_MEMORY, f"{holdings.reserved_mb} MB are taken"
    holdings.replica_by_id[order.replica_id] = HeldReplica(
        order.replica_id,
        order.model,
        order.version,
        order.memory_mb,
        order.fence,
        order.requests_per_replica,
    )
    return None


@prepare.register
def _(order: UnloadOrder, holdings):
    # Sent even if the replica is not held: its fence blocks a load that is still in transit.
    return None


@prepare.register
def _(order: LoadAdapterOrder, holdings):
    held = holdings.replica_by_id.get(order.replica_id)
    if held is None or not held.ready:
        return OrderOutcome.FAILED, "the replica is not ready"
    if order.adapter in held.memory_by_adapter:
        return None
    if not holdings.fits(order.memory_mb):
        return OrderOutcome.REFUSED_NO_MEMORY, f"{holdings.reserved_mb} MB are taken"
    held.memory_by_adapter[order.adapter] = order.memory_mb
    return None


@prepare.register
def _(order: UnloadAdapterOrder, holdings):
    held = holdings.replica_by_id.get(order.replica_id)
    if held is not None:
        held.adapters.discard(order.adapter)
    return
