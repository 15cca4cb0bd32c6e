"""Remember what one entry knows of one endpoint or service instance."""

from dataclasses import dataclass

FAILURES_BEFORE_EJECTION = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
OVERLOAD_BACKOFF_S = 0.1


@dataclass(slots=True)
class EndpointRecord:
    """Remember what one entry knows of one endpoint or service instance.

    Attributes
    ----------
    first_seen_at : float
        When it was first seen ready, in seconds.
    in_flight : int
        Own requests that it runs now.
    suspects_in_flight : int
        Those of them that may crash an endpoint.
    consecutive_failures : int
        Failures since its last whole answer.
    consecutive_ejections : int
        Ejections since its last whole answer.
    ejected_until : float
    overloaded_until : float
        Until when its own gate said that it has no room.
    """

    first_seen_at: float
    in_flight: int = 0
    suspects_in_flight: int = 0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
    overloaded_until: float = 0.0

    def record_success(self):
        """Take that it answered whole."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0

    def record_overload(self, now):
        """Take that its gate has no room.

        Parameters
        ----------
        now : float
        """
        self.overloaded_until = now + OVERLOAD_BACKOFF_S

    def record_failure(self, now):
        """Take that a try failed by its fault; tell whether it is ejected for that.

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
        ejection_s = min(MAX_EJECTION_S, EJECTION_S * 2**self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.ejected_until = now + ejection_s
        return True
