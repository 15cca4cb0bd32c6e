"""Detect from the routing table whether control has received an order's result."""

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
    """Return whether a replica's row reflects the outcome of an order.

    Parameters
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    outcome : OrderOutcome
    row : ReplicaRow
        Row of the replica.

    Returns
    -------
    bool
    """
    raise TypeError(f"unknown order type: {type(order).__name__}")


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
