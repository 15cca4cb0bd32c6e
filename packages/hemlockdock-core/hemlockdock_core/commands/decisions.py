"""Decide replicas, and record what became of them."""

from hemlockdock_core.commands.base import BaseCommand


class DecideLoad(BaseCommand, frozen=True):
    """Decide one replica and reserve its memory.

    The replica's id and fence are set from the log index at which this is committed.

    Attributes
    ----------
    model, version, node_id : str
    incarnation : int
        Incarnation of the agent that the decision was made for.
    at_ms : int
    reason : str
    """

    model: str
    version: str
    node_id: str
    incarnation: int
    at_ms: int
    reason: str


class DecideUnload(BaseCommand, frozen=True):
    """Decide that a replica goes; its memory stays reserved until it is gone.

    Attributes
    ----------
    replica_id : str
    at_ms : int
    reason : str
    """

    replica_id: str
    at_ms: int
    reason: str


class ReplicaReady(BaseCommand, frozen=True):
    """Record that a load ended well.

    Attributes
    ----------
    replica_id : str
    fence : int
    incarnation : int
        Incarnation of the reporting agent.
    at_ms : int
    took_ms : int
    """

    replica_id: str
    fence: int
    incarnation: int
    at_ms: int
    took_ms: int


class ReplicaGone(BaseCommand, frozen=True):
    """Record a confirmed unload, or a load that certainly left nothing; frees the memory.

    Attributes
    ----------
    replica_id : str
    incarnation : int
    at_ms : int
    reason : str
    """

    replica_id: str
    incarnation: int
    at_ms: int
    reason: str


class DecideAdapter(BaseCommand, frozen=True):
    """Decide an adapter onto a ready replica and reserve its memory.

    Attributes
    ----------
    replica_id : str
    adapter : str
    at_ms : int
    """

    replica_id: str
    adapter: str
    at_ms: int


class DecideAdapterUnload(BaseCommand, frozen=True):
    """Decide that an adapter goes; its memory stays reserved until it is dropped.

    Attributes
    ----------
    replica_id : str
    adapter : str
    at_ms : int
    """

    replica_id: str
    adapter: str
    at_ms: int


class AdapterLoaded(BaseCommand, frozen=True):
    """Record that an adapter is usable.

    Attributes
    ----------
    replica_id : str
    adapter : str
    incarnation : int
    at_ms : int
    """

    replica_id: str
    adapter: str
    incarnation: int
    at_ms: int


class DropAdapter(BaseCommand, frozen=True):
    """Record that an adapter is off a replica; frees its memory.

    Attributes
    ----------
    replica_id : str
    adapter : str
    incarnation : int
    at_ms : int
    """

    replica_id: str
    adapter: str
    incarnation: int
    at_ms: int
