"""Commands about the nodes of the cluster."""

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
    """Record that a node accepts no new work.

    Attributes
    ----------
    node_id : str
    at_ms : int
    source : str
        Who announced it: ``agent`` or ``platform``.
    """

    node_id: str
    at_ms: int
    source: str


class NodeLost(BaseCommand, frozen=True):
    """Record that a node's heartbeats have stopped.

    Attributes
    ----------
    node_id : str
    incarnation : int
        Incarnation whose heartbeats stopped; the command has no effect if there is a newer one.
    at_ms : int
    certain : bool
        Whether its host is known to be gone, so that its replicas are no longer counted.
    """

    node_id: str
    incarnation: int
    at_ms: int
    certain: bool


class NodeInventoried(BaseCommand, frozen=True):
    """Record that an agent's incarnation has reported the inventory of its engine.

    No loads or unloads are decided for an incarnation before this.

    Attributes
    ----------
    node_id : str
    incarnation : int
    undecided_mb : int
        Memory of models loaded without a decision, in MB; it counts as reserved.
    at_ms : int
    """

    node_id: str
    incarnation: int
    undecided_mb: int
    at_ms: int
