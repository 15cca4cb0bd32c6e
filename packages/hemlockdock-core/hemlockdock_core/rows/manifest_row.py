"""Routing table row of the active manifest."""

from hemlockdock_core.rows.base import BaseRow


class ManifestRow(BaseRow, frozen=True):
    """The active manifest, without its contents.

    Attributes
    ----------
    number : int
    digest : str
    deployment : str
    """

    number: int
    digest: str
    deployment: str

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return "manifest"
