"""Say which manifest is in force."""

from hemlockdock_core.rows.base import BaseRow


class ManifestRow(BaseRow, frozen=True):
    """Say which manifest is in force.

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
        """Return the row's key."""
        return "manifest"
