"""Describe one request that may not run."""

from hemlockdock_core.rows.base import BaseRow


class QuarantineRow(BaseRow, frozen=True):
    """Describe one fingerprint that crashed endpoints.

    Attributes
    ----------
    fingerprint : str
    crashes : int
        Crashes seen with it in flight.
    refused : bool
        Whether it is refused; where not, it is a suspect and runs apart from other suspects.
    until_ms : int
        Wall-clock end of the quarantine, in milliseconds since 1970.
    """

    fingerprint: str
    crashes: int
    refused: bool
    until_ms: int

    @property
    def key(self):
        """Return the row's key."""
        return f"quarantine/{self.fingerprint}"
