"""Routing table row of a node."""

from hemlockdock_core.rows.base import BaseRow


class NodeRow(BaseRow, frozen=True):
    """A node of the cluster.

    Attributes
    ----------
    node_id, role, host, failure_domain, address : str
    incarnation : int
    leaving : bool
        Whether it accepts no new work.
    lost : bool
        Whether its heartbeats have stopped.
    """

    node_id: str
    role: str
    host: str
    failure_domain: str
    address: str
    incarnation: int
    leaving: bool
    lost: bool

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"node/{self.node_id}"
