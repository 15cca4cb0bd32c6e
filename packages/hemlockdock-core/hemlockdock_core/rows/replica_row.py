"""Routing table row of a replica."""

from enum import StrEnum

from hemlockdock_core.rows.base import BaseRow


class ReplicaState(StrEnum):
    """The lifecycle state of a replica."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class ReplicaRow(BaseRow, frozen=True):
    """A replica that control has decided to load.

    Attributes
    ----------
    replica_id : str
    model : str
    version : str
    node_id : str
        Node id of the agent of its endpoint.
    state : ReplicaState
    fence : int
        Fencing token of the replica.
    adapters : list of str
        Adapters that are loaded and usable.
    requests_per_replica : int
    """

    replica_id: str
    model: str
    version: str
    node_id: str
    state: ReplicaState
    fence: int
    adapters: list[str]
    requests_per_replica: int

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"replica/{self.replica_id}"
