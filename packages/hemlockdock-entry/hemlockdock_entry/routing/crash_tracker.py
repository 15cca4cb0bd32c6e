"""Track requests that are suspected of crashing the endpoints that run them."""

from enum import Enum

CRASH_RETENTION_S = 600.0
CRASHES_BEFORE_REFUSAL = 2


class TrustLevel(Enum):
    """How far a request is trusted not to crash its endpoint."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    REFUSED = "refused"


class CrashTracker:
    """Combine the quarantine rows committed by control with crashes that this entry has seen.

    The entry notices a lost endpoint before the quarantine row about it arrives from control.
    """

    def __init__(self):
        self._crashes_by_fingerprint = {}

    def record_crash(self, fingerprint, now):
        """Record that an endpoint was lost while running a request.

        Parameters
        ----------
        fingerprint : str
        now : float
        """
        crashes, _ = self._crashes_by_fingerprint.get(fingerprint, (0, 0.0))
        self._crashes_by_fingerprint[fingerprint] = (crashes + 1, now + CRASH_RETENTION_S)

    def record_success(self, fingerprint):
        """Record that a request was answered completely.

        Parameters
        ----------
        fingerprint : str
        """
        self._crashes_by_fingerprint.pop(fingerprint, None)

    def trust_level(self, table, fingerprint, now, wall_ms):
        """Return how far a request is trusted.

        Parameters
        ----------
        table : RoutingTable
        fingerprint : str
        now : float
            Time on the entry's clock, in seconds.
        wall_ms : int
            Wall clock time in milliseconds since 1970.

        Returns
        -------
        TrustLevel
        """
        row = table.quarantine_by_fingerprint.get(fingerprint)
        if row is not None and row.until_ms > wall_ms:
            return TrustLevel.REFUSED if row.refused else TrustLevel.SUSPECT
        known = self._crashes_by_fingerprint.get(fingerprint)
        if known is None:
            return TrustLevel.TRUSTED
        crashes, until = known
        if until <= now:
            del self._crashes_by_fingerprint[fingerprint]
            return TrustLevel.TRUSTED
        # Suspects run one at a time, so a second crash is attributed to this request.
        return TrustLevel.REFUSED if crashes >= CRASHES_BEFORE_REFUSAL else TrustLevel.SUSPECT

    def remove_expired(self, now):
        """Remove crashes that are older than the retention time.

        Parameters
        ----------
        now : float
        """
        for fingerprint, (_, until) in list(self._crashes_by_fingerprint.items()):
            if until <= now:
                del self._crashes_by_fingerprint[fingerprint]
