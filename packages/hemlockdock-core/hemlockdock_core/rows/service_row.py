"""Routing table row of a service without models."""

from hemlockdock_core.rows.base import BaseRow


class ServiceRow(BaseRow, frozen=True):
    """A service without models; see ``manifest.Service``."""

    name: str
    urls: list[str]
    request_class: str
    repeatable_methods: list[str]
    most_in_flight: int

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"service/{self.name}"
