"""Track load and failures of one endpoint or service instance."""

from dataclasses import dataclass

from hemlockdock_entry.ejection import ejection_s

FAILURES_BEFORE_EJECTION = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
OVERLOAD_BACKOFF_S = 0.1


@dataclass(slots=True)
class EndpointRecord:
    """Load and failure state of one endpoint or service instance, as seen by one entry.

    Attributes
    ----------
    first_seen_at : float
        Time at which it was first seen ready, in seconds.
    in_flight : int
        Requests of this entry that it is running.
    suspects_in_flight : int
        Of those, requests suspected of crashing endpoints.
    consecutive_failures : int
        Failures since its last complete answer.
    consecutive_ejections : int
        Ejections since its last complete answer.
    ejected_until : float
        Time until which it is ejected.
    overloaded_until : float
        Time until which it is skipped, because it refused a request for lack of capacity.
    paused_until : float
        Time until which it has asked to get no requests.
    """

    first_seen_at: float
    in_flight: int = 0
    suspects_in_flight: int = 0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
    overloaded_until: float = 0.0
    paused_until: float = 0.0

    def record_success(self):
        """Record a complete answer."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0

    def record_overload(self, now):
        """Record that it refused a request for lack of capacity.

        Parameters
        ----------
        now : float
        """
        self.overloaded_until = now + OVERLOAD_BACKOFF_S

    def record_failure(self, now):
        """Record a failed attempt and return whether the endpoint is ejected for it.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        self.consecutive_failures += 1
        if self.consecutive_failures % FAILURES_BEFORE_EJECTION:
            return False
        duration_s = ejection_s(EJECTION_S, MAX_EJECTION_S, self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.ejected_until = now + duration_s
        return True
