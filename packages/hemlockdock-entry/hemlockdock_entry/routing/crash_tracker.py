"""Tell which requests may crash the endpoint that runs them."""

from enum import Enum

CRASH_RETENTION_S = 600.0
CRASHES_BEFORE_REFUSAL = 2


class Standing(Enum):
    """Name how far a request is trusted."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    REFUSED = "refused"


class CrashTracker:
    """Join what control has committed with what this entry has seen itself.

    The entry sees a lost endpoint some time before the quorum's row about it arrives.
    """

    def __init__(self):
        self._crashes_by_fingerprint = {}

    def record_crash(self, fingerprint, now):
        """Record that an endpoint was lost while it ran a request.

        Parameters
        ----------
        fingerprint : str
        now : float
        """
        crashes, _ = self._crashes_by_fingerprint.get(fingerprint, (0, 0.0))
        self._crashes_by_fingerprint[fingerprint] = (crashes + 1, now + CRASH_RETENTION_S)

    def record_success(self, fingerprint):
        """Record that a request was answered whole.

        Parameters
        ----------
        fingerprint : str
        """
        self._crashes_by_fingerprint.pop(fingerprint, None)

    def standing(self, table, fingerprint, now, wall_ms):
        """Tell how far a request is trusted.

        Parameters
        ----------
        table : RoutingTable
        fingerprint : str
        now : float
            Seconds on the entry's clock.
        wall_ms : int
            Milliseconds since 1970.

        Returns
        -------
        Standing
        """
        row = table.quarantine_by_fingerprint.get(fingerprint)
        if row is not None and row.until_ms > wall_ms:
            return Standing.REFUSED if row.refused else Standing.SUSPECT
        known = self._crashes_by_fingerprint.get(fingerprint)
        if known is None:
            return Standing.TRUSTED
        crashes, until = known
        if until <= now:
            del self._crashes_by_fingerprint[fingerprint]
            return Standing.TRUSTED
        # Alone in flight the second time, so the second loss is this request's own.
        return Standing.REFUSED if crashes >= CRASHES_BEFORE_REFUSAL else Standing.SUSPECT

    def remove_expired(self, now):
        """Drop what was seen too long ago.

        Parameters
        ----------
        now : float
        """
        for fingerprint, (_, until) in list(self._crashes_by_fingerprint.items()):
            if until <= now:
                del self._crashes_by_fingerprint[fingerprint]
