"""Committed state of a request that was in flight at a crash."""

from dataclasses import dataclass, field

from hemlockdock_core.rows import QuarantineRow


@dataclass(slots=True)
class SuspectRecord:
    """Committed state of a request that was in flight at a crash, or of a part of its prompt.

    Attributes
    ----------
    fingerprint : str
        Or the key of the part; see ``suspect_keys``.
    crash_ids : list of str
        Crashes that the request may have caused.
    refused : bool
        Whether the request is in quarantine.
    until_ms : int
        When the suspicion or the quarantine ends.
    requests : list of str
        Fingerprints of the first requests with the part; empty for whole requests.
    """

    fingerprint: str
    crash_ids: list[str]
    refused: bool
    until_ms: int
    requests: list[str] = field(default_factory=list)

    def row(self):
        """Return the routing table row."""
        return QuarantineRow(
            self.fingerprint,
            len(self.crash_ids),
            self.refused,
            self.until_ms,
            tuple(self.crash_ids),
        )
