"""Hold what is known of one request that was in flight at a crash."""

from dataclasses import dataclass

from hemlockdock_core.rows import QuarantineRow


@dataclass(slots=True)
class SuspectRecord:
    """Hold what is known of one request that was in flight at a crash.

    Attributes
    ----------
    fingerprint : str
    crash_ids : list of str
        Crashes that it may have caused.
    refused : bool
    until_ms : int
    """

    fingerprint: str
    crash_ids: list[str]
    refused: bool
    until_ms: int

    def row(self):
        """Return the row that nodes see."""
        return QuarantineRow(self.fingerprint, len(self.crash_ids), self.refused, self.until_ms)
