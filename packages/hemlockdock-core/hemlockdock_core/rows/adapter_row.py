"""Describe one adapter to the entries."""

from hemlockdock_core.rows.base import BaseRow


class AdapterRow(BaseRow, frozen=True):
    """Describe one adapter.

    Attributes
    ----------
    name : str
    model : str
    """

    name: str
    model: str

    @property
    def key(self):
        """Return the row's key."""
        return f"adapter/{self.name}"
