"""Commands that decide loads and unloads, and record their outcomes."""

from hemlockdock_core.commands.base import BaseCommand


class DecideLoad(BaseCommand, frozen=True):
    """Decide to load a replica, and reserve its memory.

    The replica's id and fencing token are derived from the log index of this command.

    Attributes
    ----------
    model, version, node_id : str
    incarnation : int
        Incarnation of the agent for which the decision was made.
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
    """Decide to unload a replica; its memory stays reserved until it is unloaded.

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
    """Record that a replica was loaded.

    Attributes
    ----------
    replica_id : str
    fence : int
        Fencing token of the replica.
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
    """Release the memory of a replica after a confirmed unload or a failed load.

    A failed load is recorded only once it is certain that nothing of it stayed in memory.

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
    """Decide to load an adapter on a ready replica, and reserve its memory.

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
    """Decide to unload an adapter; its memory stays reserved until it is unloaded.

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
    """Record that an adapter was loaded and is usable.

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
    """Record that an adapter was unloaded from a replica, and release its memory.

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
