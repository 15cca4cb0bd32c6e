"""Routing table row of a quarantined request fingerprint."""

from hemlockdock_core.rows.base import BaseRow


class QuarantineRow(BaseRow, frozen=True):
    """A request, or a part of prompts, that endpoints ran when they crashed.

    Attributes
    ----------
    fingerprint : str
        Of the request, or the key of the part; see ``suspect_keys``.
    crashes : int
        Number of crashes with such a request in flight.
    refused : bool
        Whether such requests are refused; if not, they are suspects and run apart from other
        suspects.
    until_ms : int
        Wall-clock end of the quarantine, in milliseconds since the Unix epoch.
    crash_ids : tuple of str
        Ids of these crashes.
    """

    fingerprint: str
    crashes: int
    refused: bool
    until_ms: int
    crash_ids: tuple[str, ...] = ()

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"quarantine/{self.fingerprint}"
