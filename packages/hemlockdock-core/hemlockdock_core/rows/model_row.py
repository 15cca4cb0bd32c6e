"""Routing table row of a model."""

from hemlockdock_core.rows.base import BaseRow


class ModelRow(BaseRow, frozen=True):
    """A model; see ``manifest.Model``.

    Attributes
    ----------
    name : str
    serve : str
    request_class : str
    priority : int
    most_replicas : int
    requests_per_replica : int
    load_ms : int
        Current estimate of the duration of a load, in milliseconds.
    """

    name: str
    serve: str
    request_class: str
    priority: int
    most_replicas: int
    requests_per_replica: int
    load_ms: int

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"model/{self.name}"
