"""Derive commands from order results."""

from hemlockdock_core.commands import (
    AdapterLoaded,
    DecideAdapterUnload,
    DecideUnload,
    DropAdapter,
    ReplicaGone,
    ReplicaReady,
)
from hemlockdock_core.messages import OrderOutcome
from hemlockdock_core.rows import ReplicaState


def outcome_commands(result, sender, incarnation, state, at_ms):
    """Return the commands to commit for an order's result.

    A result is ignored unless its fence is the one that the committed state expects.

    Parameters
    ----------
    result : OrderResult
    sender : str
        Node id of the reporting agent.
    incarnation : int
    state : ClusterState
    at_ms : int

    Returns
    -------
    list of Command
    """
    replica = state.replicas.record_by_id.get(result.replica_id)
    if replica is None or replica.node_id != sender:
        return []
    if not state.nodes.current(sender, incarnation):
        return []
    if replica.state is ReplicaState.UNLOADING:
        return _unload_outcome(replica, result, incarnation, at_ms)
    if replica.state is ReplicaState.LOADING:
        return _load_outcome(replica, result, incarnation, at_ms)
    for name, adapter in replica.adapter_by_name.items():
        if result.fence == adapter.unload_fence:
            return _adapter_unload_outcome(replica, name, result, incarnation, at_ms)
        if result.fence == adapter.fence and not adapter.unload_fence and not adapter.loaded:
            return _adapter_load_outcome(replica, name, result, incarnation, at_ms)
    return []


def _load_outcome(replica, result, incarnation, at_ms):
    if result.fence != replica.fence:
        return []
    if result.outcome is OrderOutcome.DONE:
        return [ReplicaReady(replica.replica_id, result.fence, incarnation, at_ms, result.took_ms)]
    # A failed load may leave data in the engine; an unload with a newer fence removes it.
    reason = f"load {result.outcome.value}: {result.detail}"
    return [DecideUnload(replica.replica_id, at_ms, reason)]


def _unload_outcome(replica, result, incarnation, at_ms):
    if result.fence != replica.unload_fence:
        return []
    if result.outcome is OrderOutcome.DONE:
        return [ReplicaGone(replica.replica_id, incarnation, at_ms, "unloaded")]
    if result.outcome is OrderOutcome.REFUSED_OLD_FENCE:
        return [DecideUnload(replica.replica_id, at_ms, "its fence was old")]
    return []


def _adapter_load_outcome(replica, name, result, incarnation, at_ms):
    if result.outcome is OrderOutcome.DONE:
        return [AdapterLoaded(replica.replica_id, name, incarnation, at_ms)]
    return [DecideAdapterUnload(replica.replica_id, name, at_ms)]


def _adapter_unload_outcome(replica, name, result, incarnation, at_ms):
    if result.outcome is OrderOutcome.DONE:
        return [DropAdapter(replica.replica_id, name, incarnation, at_ms)]
    if result.outcome is OrderOutcome.REFUSED_OLD_FENCE:
        return [DecideAdapterUnload(replica.replica_id, name, at_ms)]
    return []
