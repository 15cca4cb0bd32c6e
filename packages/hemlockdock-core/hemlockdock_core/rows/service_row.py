"""Describe one plain service to the entries."""

from hemlockdock_core.rows.base import BaseRow


class ServiceRow(BaseRow, frozen=True):
    """Describe one plain service; see ``manifest.Service``."""

    name: str
    urls: list[str]
    request_class: str
    repeatable_methods: list[str]
    most_in_flight: int

    @property
    def key(self):
        """Return the row's key."""
        return f"service/{self.name}"
