"""Routing table row of a request class."""

from hemlockdock_core.rows.base import BaseRow


class ClassRow(BaseRow, frozen=True):
    """A request class; see ``manifest.RequestClass``."""

    name: str
    kind: str
    deadline_ms: int
    repeatable: bool
    priority: int
    retention_s: int

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"class/{self.name}"
