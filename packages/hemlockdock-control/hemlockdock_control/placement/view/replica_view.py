"""Describe one replica to the planner."""

from dataclasses import dataclass

from hemlockdock_core.rows import ReplicaState


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """Describe one replica whose load has been decided.

    Attributes
    ----------
    replica_id : str
    model : str
    version : str
    node_id : str
    state : ReplicaState
    decided_at_ms : int
        When its load was decided.
    ready_at_ms : int
        When the replica became ready; 0 until then.
    in_flight : int
        Last known number of requests in progress.
    last_used_ms : int
        Last time the replica was known to serve a request; 0 if never.
    adapters : frozenset of str
        Adapters loaded and usable.
    adapters_loading : frozenset of str
        Adapters whose load is decided but not complete.
    adapters_unloading : frozenset of str
        Adapters being unloaded: no longer in ``adapters``, but still in memory.
    """

    replica_id: str
    model: str
    version: str
    node_id: str
    state: ReplicaState
    decided_at_ms: int
    ready_at_ms: int = 0
    in_flight: int = 0
    last_used_ms: int = 0
    adapters: frozenset[str] = frozenset()
    adapters_loading: frozenset[str] = frozenset()
    adapters_unloading: frozenset[str] = frozenset()
