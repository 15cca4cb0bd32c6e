"""Describe one decided replica."""

from enum import StrEnum

from hemlockdock_core.rows.base import BaseRow


class ReplicaState(StrEnum):
    """Name where a replica is in its life."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class ReplicaRow(BaseRow, frozen=True):
    """Describe one decided replica.

    Attributes
    ----------
    replica_id : str
    model : str
    version : str
    node_id : str
        Agent of the endpoint that holds it.
    state : ReplicaState
    fence : int
    adapters : list of str
        Adapters loaded and usable.
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
        """Return the row's key."""
        return f"replica/{self.replica_id}"
