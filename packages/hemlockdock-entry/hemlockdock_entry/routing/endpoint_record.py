"""Remember what one entry knows of one endpoint or service instance."""

from dataclasses import dataclass

FAILURES_BEFORE_EJECTION = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
FULL_BACKOFF_S = 0.1


@dataclass(slots=True)
class EndpointRecord:
    """Remember what one entry knows of one endpoint or service instance.

    Attributes
    ----------
    first_seen_at : float
        When it was first seen ready, in seconds.
    in_flight : int
        Own requests that it runs now.
    suspects : int
        Those of them that may crash an endpoint.
    failures : int
        Failures since its last whole answer.
    ejections : int
        Ejections since its last whole answer.
    ejected_until : float
    full_until : float
        Until when its own gate said that it has no room.
    """

    first_seen_at: float
    in_flight: int = 0
    suspects: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    full_until: float = 0.0

    def answered(self):
        """Take that it answered whole."""
        self.failures = 0
        self.ejections = 0

    def full(self, now):
        """Take that its gate has no room.

        Parameters
        ----------
        now : float
        """
        self.full_until = now + FULL_BACKOFF_S

    def failed(self, now):
        """Take that a try failed by its fault; tell whether it is ejected for that.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        self.failures += 1
        if self.failures % FAILURES_BEFORE_EJECTION:
            return False
        span = min(MAX_EJECTION_S, EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + span
        return True
