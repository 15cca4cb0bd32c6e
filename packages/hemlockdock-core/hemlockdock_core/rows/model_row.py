"""Describe one model to the entries."""

from hemlockdock_core.rows.base import BaseRow


class ModelRow(BaseRow, frozen=True):
    """Describe one model; see ``manifest.Model``.

    Attributes
    ----------
    name : str
    serve : str
    request_class : str
    priority : int
    most_replicas : int
    requests_per_replica : int
    load_ms : int
        What a load is expected to take now, in milliseconds.
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
        """Return the row's key."""
        return f"model/{self.name}"
