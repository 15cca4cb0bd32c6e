"""Remember what one entry knows of one replica beyond the table."""

from dataclasses import dataclass


@dataclass(slots=True)
class EndpointRecord:
    """Remember what one entry knows of one replica.

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
