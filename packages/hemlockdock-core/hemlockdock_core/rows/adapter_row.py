"""Routing table row of an adapter."""

from hemlockdock_core.rows.base import BaseRow


class AdapterRow(BaseRow, frozen=True):
    """An adapter; see ``manifest.Adapter``.

    Attributes
    ----------
    name : str
    model : str
        Base model of the adapter.
    """

    name: str
    model: str

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"adapter/{self.name}"
