"""Record which nodes are there."""

from hemlockdock_core.commands.base import BaseCommand
from hemlockdock_core.node_info import NodeInfo


class RegisterNode(BaseCommand, frozen=True):
    """Record a node's incarnation; an older incarnation is refused.

    Attributes
    ----------
    info : NodeInfo
    incarnation : int
    at_ms : int
    """

    info: NodeInfo
    incarnation: int
    at_ms: int


class NodeLeaving(BaseCommand, frozen=True):
    """Record that a node takes no new work.

    Attributes
    ----------
    node_id : str
    at_ms : int
    source : str
        ``agent`` or ``platform``.
    """

    node_id: str
    at_ms: int
    source: str


class NodeLost(BaseCommand, frozen=True):
    """Record that a node's heartbeats stopped.

    Attributes
    ----------
    node_id : str
    incarnation : int
        The incarnation that went silent; a newer one makes the command void.
    at_ms : int
    certain : bool
        Whether its host is known to be gone, so that its replicas no longer count.
    """

    node_id: str
    incarnation: int
    at_ms: int
    certain: bool


class NodeInventoried(BaseCommand, frozen=True):
    """Record that an agent's incarnation has reported what its engine holds.

    Nothing is decided for an incarnation before this.

    Attributes
    ----------
    node_id : str
    incarnation : int
    undecided_mb : int
        Memory of what is loaded without a decision, in MB; it counts as reserved.
    at_ms : int
    """

    node_id: str
    incarnation: int
    undecided_mb: int
    at_ms: int
