"""Describe one class of requests to the entries."""

from hemlockdock_core.rows.base import BaseRow


class ClassRow(BaseRow, frozen=True):
    """Describe one class of requests; see ``manifest.RequestClass``."""

    name: str
    kind: str
    deadline_ms: int
    repeatable: bool
    priority: int
    retention_s: int

    @property
    def key(self):
        """Return the row's key."""
        return f"class/{self.name}"
