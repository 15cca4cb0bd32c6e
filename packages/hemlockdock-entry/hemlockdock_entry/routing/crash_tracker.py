"""Track requests that are suspected of crashing the endpoints that run them."""

from dataclasses import dataclass
from enum import Enum

CRASH_RETENTION_S = 600.0
CRASHES_BEFORE_REFUSAL = 2
MAX_TRACKED = 4_096
MS_PER_S = 1_000


class TrustLevel(Enum):
    """How far a request is trusted not to crash its endpoint."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclass(slots=True)
class SeenCrashes:
    """The crashes of endpoints that ran a request, as far as this entry knows.

    Attributes
    ----------
    endpoint_ids : list of str
        Endpoint of each crash.
    until_s : float
        When they are forgotten.
    crashed_s : float
        Time of the last one.
    observer : str
        Which entry saw the last one.
    """

    endpoint_ids: list[str]
    until_s: float
    crashed_s: float
    observer: str

    def is_repeated(self, endpoint_id, observer, now, same_crash_s):
        """Return whether another entry has told of a crash already.

        Parameters
        ----------
        endpoint_id, observer : str
        now, same_crash_s : float

        Returns
        -------
        bool
        """
        if endpoint_id not in self.endpoint_ids or observer == self.observer:
            return False
        return now - self.crashed_s < same_crash_s


class CrashTracker:
    """Combine the quarantine rows committed by control with crashes that entries have seen.

    An entry notices a lost endpoint before the quarantine row about it arrives from control.

    Parameters
    ----------
    crashes_before_refusal : int, optional
        Number of crashes known to this entry at which it refuses a request without a row.
    same_crash_s : float, optional
        Time within which what two entries saw of an endpoint is the same crash.
    """

    def __init__(self, crashes_before_refusal=CRASHES_BEFORE_REFUSAL, same_crash_s=0.0):
        self._crashes_before_refusal = crashes_before_refusal
        self._same_crash_s = same_crash_s
        self._seen_by_fingerprint = {}

    def record_crash(self, fingerprint, now, endpoint_id, observer=""):
        """Record that an endpoint was lost while running a request.

        Parameters
        ----------
        fingerprint : str
        now : float
        endpoint_id : str
        observer : str, optional
            The entry that saw it; empty for this one.
        """
        seen = self._seen_by_fingerprint.pop(fingerprint, None)
        if seen is None:
            seen = SeenCrashes([], 0.0, now, observer)
        if len(self._seen_by_fingerprint) >= MAX_TRACKED:
            del self._seen_by_fingerprint[next(iter(self._seen_by_fingerprint))]
        self._seen_by_fingerprint[fingerprint] = seen
        if seen.is_repeated(endpoint_id, observer, now, self._same_crash_s):
            return
        seen.endpoint_ids = [*seen.endpoint_ids, endpoint_id][-self._crashes_before_refusal :]
        seen.until_s = now + CRASH_RETENTION_S
        seen.crashed_s = now
        seen.observer = observer

    def record_success(self, fingerprint):
        """Record that a request was answered completely.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        bool
            Whether it was a suspect.
        """
        return self._seen_by_fingerprint.pop(fingerprint, None) is not None

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
        row = _row_in_force(table, fingerprint, wall_ms)
        crashes = self._seen_crashes(fingerprint, now)
        if crashes >= self._crashes_before_refusal or (row is not None and row.refused):
            return TrustLevel.REFUSED
        return TrustLevel.SUSPECT if crashes or row is not None else TrustLevel.TRUSTED

    def crash_count(self, table, fingerprint, now, wall_ms):
        """Return the number of crashes that a request may explain.

        Parameters
        ----------
        table : RoutingTable
        fingerprint : str
        now : float
        wall_ms : int

        Returns
        -------
        int
        """
        row = _row_in_force(table, fingerprint, wall_ms)
        seen = self._seen_crashes(fingerprint, now)
        return seen if row is None else max(seen, row.crashes)

    def refused_for_ms(self, table, fingerprint, now, wall_ms):
        """Return the time for which a request is refused, in milliseconds.

        Parameters
        ----------
        table : RoutingTable
        fingerprint : str
        now : float
        wall_ms : int

        Returns
        -------
        int
        """
        row = _row_in_force(table, fingerprint, wall_ms)
        if row is not None and row.refused:
            return row.until_ms - wall_ms
        seen = self._seen_by_fingerprint.get(fingerprint)
        return 0 if seen is None else round((seen.until_s - now) * MS_PER_S)

    def crash_ids(self, table, fingerprint):
        """Return what identifies the crashes of a request: by the row, else the endpoints' ids.

        Parameters
        ----------
        table : RoutingTable
        fingerprint : str

        Returns
        -------
        list of str
        """
        row = table.quarantine_by_fingerprint.get(fingerprint)
        if row is not None and row.crash_ids:
            return list(row.crash_ids)
        seen = self._seen_by_fingerprint.get(fingerprint)
        return [] if seen is None else list(seen.endpoint_ids)

    def remove_expired(self, now):
        """Remove crashes that are older than the retention time.

        Parameters
        ----------
        now : float
        """
        for fingerprint, seen in list(self._seen_by_fingerprint.items()):
            if seen.until_s <= now:
                del self._seen_by_fingerprint[fingerprint]

    def _seen_crashes(self, fingerprint, now):
        seen = self._seen_by_fingerprint.get(fingerprint)
        if seen is None or seen.until_s <= now:
            return 0
        return len(seen.endpoint_ids)


def _row_in_force(table, fingerprint, wall_ms):
    row = table.quarantine_by_fingerprint.get(fingerprint)
    return None if row is None or row.until_ms <= wall_ms else row
