"""Encode each kind of order for the engine's HTTP interface."""

from functools import singledispatch

from hemlockdock_core.messages import (
    LoadAdapterOrder,
    LoadOrder,
    UnloadAdapterOrder,
    UnloadOrder,
)


def order_key(order):
    """Return the key by which a repeated order is recognized.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder

    Returns
    -------
    tuple
    """
    return (engine_kind(order), order.replica_id, getattr(order, "adapter", ""), order.fence)


@singledispatch
def engine_kind(order):
    """Return the last segment of the engine's path for an order.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder

    Returns
    -------
    str
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


@engine_kind.register
def _(order: LoadOrder):
    return "load"


@engine_kind.register
def _(order: UnloadOrder):
    return "unload"


@engine_kind.register
def _(order: LoadAdapterOrder):
    return "load_adapter"


@engine_kind.register
def _(order: UnloadAdapterOrder):
    return "unload_adapter"


@singledispatch
def engine_body(order, fence):
    """Return the JSON object to send to the engine.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    fence : int
        At least as high as any fence sent to the engine before.

    Returns
    -------
    dict
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


@engine_body.register
def _(order: LoadOrder, fence):
    return {
        "fence": fence,
        "replica_id": order.replica_id,
        "model": order.model,
        "version": order.version,
        "memory_mb": order.memory_mb,
    }


@engine_body.register
def _(order: UnloadOrder, fence):
    return {"fence": fence, "replica_id": order.replica_id}


@engine_body.register
def _(order: LoadAdapterOrder, fence):
    return {
        "fence": fence,
        "replica_id": order.replica_id,
        "adapter": order.adapter,
        "memory_mb": order.memory_mb,
    }


@engine_body.register
def _(order: UnloadAdapterOrder, fence):
    return {"fence": fence, "replica_id": order.replica_id, "adapter": order.adapter}
