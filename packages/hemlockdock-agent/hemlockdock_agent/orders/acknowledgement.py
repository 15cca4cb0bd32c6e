"""Tell from the routing table whether control knows an order's result."""

from functools import singledispatch

from hemlockdock_core.messages import (
    LoadAdapterOrder,
    LoadOrder,
    OrderOutcome,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.rows import ReplicaState


@singledispatch
def is_acknowledged(order, outcome, row):
    """Tell whether a replica's row shows that control knows how an order ended.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    outcome : OrderOutcome
    row : ReplicaRow
        The replica's row, which is there.

    Returns
    -------
    bool
    """
    raise TypeError(f"no order: {type(order).__name__}")


@is_acknowledged.register
def _(order: LoadOrder, outcome, row):
    if outcome is OrderOutcome.DONE:
        return row.state is not ReplicaState.LOADING
    return row.state is ReplicaState.UNLOADING


@is_acknowledged.register
def _(order: UnloadOrder, outcome, row):
    return False


@is_acknowledged.register
def _(order: LoadAdapterOrder, outcome, row):
    return row.state is ReplicaState.UNLOADING or order.adapter in row.adapters


@is_acknowledged.register
def _(order: UnloadAdapterOrder, outcome, row):
    return row.state is ReplicaState.UNLOADING
