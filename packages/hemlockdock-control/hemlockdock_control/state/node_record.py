"""Committed state of a node."""

from dataclasses import dataclass

from hemlockdock_core.node_info import NodeInfo
from hemlockdock_core.rows import NodeRow


@dataclass(slots=True)
class NodeRecord:
    """Committed state of a node.

    Attributes
    ----------
    info : NodeInfo
    incarnation : int
    leaving_source : str
        Who reported that the node leaves: ``agent`` or ``platform``; empty if it does not leave.
    lost_at_ms : int
        When the node was declared lost for missing heartbeats; 0 if it is not lost.
    gone : bool
        Whether the host is known to be gone. An agent can only return with a newer incarnation.
    inventoried : bool
        Whether this incarnation of the agent has reported its inventory.
    undecided_mb : int
        Memory that the engine uses for loads not decided by the cluster, in MB.
    """

    info: NodeInfo
    incarnation: int
    leaving_source: str = ""
    lost_at_ms: int = 0
    gone: bool = False
    inventoried: bool = False
    undecided_mb: int = 0

    @property
    def leaving(self):
        """Return whether the node is leaving and takes no new work."""
        return self.leaving_source != ""

    @property
    def lost(self):
        """Return whether the node is lost."""
        return self.lost_at_ms != 0

    def row(self):
        """Return the routing table row."""
        return NodeRow(
            self.info.node_id,
            self.info.role,
            self.info.host,
            self.info.failure_domain,
            self.info.address,
            self.incarnation,
            self.leaving,
            self.lost,
        )
