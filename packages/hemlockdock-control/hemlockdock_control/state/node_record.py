"""Hold what is committed about one node."""

from dataclasses import dataclass

from hemlockdock_core.node_info import NodeInfo
from hemlockdock_core.rows import NodeRow


@dataclass(slots=True)
class NodeRecord:
    """Hold what is committed about one node.

    Attributes
    ----------
    info : NodeInfo
    incarnation : int
    leaving_source : str
        Who said that it leaves: ``agent`` or ``platform``; empty where nobody did.
    lost_at_ms : int
        When its heartbeats were taken for ended; 0 where they are not.
    gone : bool
        Whether its host was certainly gone; only a newer incarnation comes back from that.
    inventoried : bool
        Whether this incarnation of an agent has reported its inventory.
    undecided_mb : int
        Memory of what the engine has loaded without a decision, in MB.
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
        """Tell whether the node takes no new work."""
        return self.leaving_source != ""

    @property
    def lost(self):
        """Tell whether the node's heartbeats stopped."""
        return self.lost_at_ms != 0

    def row(self):
        """Return the row that other nodes see."""
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
