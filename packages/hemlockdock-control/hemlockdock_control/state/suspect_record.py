"""Committed state of a request that was in flight at a crash."""

from dataclasses import dataclass

from hemlockdock_core.rows import QuarantineRow


@dataclass(slots=True)
class SuspectRecord:
    """Committed state of a request that was in flight at a crash.

    Attributes
    ----------
    fingerprint : str
    crash_ids : list of str
        Crashes that the request may have caused.
    refused : bool
        Whether the request is in quarantine.
    until_ms : int
        When the suspicion or the quarantine ends.
    """

    fingerprint: str
    crash_ids: list[str]
    refused: bool
    until_ms: int

    def row(self):
        """Return the routing table row."""
        return QuarantineRow(
            self.fingerprint,
            len(self.crash_ids),
            self.refused,
            self.until_ms,
            tuple(self.crash_ids),
        )
