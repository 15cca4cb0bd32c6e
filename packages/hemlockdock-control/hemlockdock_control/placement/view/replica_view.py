"""Describe one decided replica to the planner."""

from dataclasses import dataclass

from hemlockdock_core.rows import ReplicaState


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """Describe one decided replica.

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
        0 until it is ready.
    in_flight : int
        Requests it serves now, as far as is known.
    last_used_ms : int
        Last time it was known to serve; 0 for never.
    adapters : frozenset of str
        Adapters loaded and usable.
    adapters_loading : frozenset of str
        Adapters decided but not yet usable.
    adapters_unloading : frozenset of str
        Adapters that are going; no longer among ``adapters``, but still in memory.
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
