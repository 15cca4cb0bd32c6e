"""Describe one node to all others."""

from hemlockdock_core.rows.base import BaseRow


class NodeRow(BaseRow, frozen=True):
    """Describe one node.

    Attributes
    ----------
    node_id, role, host, failure_domain, address : str
    incarnation : int
    leaving : bool
    lost : bool
        Whether its heartbeats stopped.
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
        """Return the row's key."""
        return f"node/{self.node_id}"
