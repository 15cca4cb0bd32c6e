"""Hold what was learnt of one model's requests."""

from dataclasses import dataclass, field

from hemlockdock_control.placement.arrivals.gap_histogram import GapHistogram
from hemlockdock_control.placement.arrivals.session_starts import SessionStarts


@dataclass(slots=True)
class ModelArrivals:
    """Hold what was learnt of one model's requests.

    Attributes
    ----------
    last_ms : int
        Last arrival.
    gaps : GapHistogram
        Of gaps in weighted time.
    sessions : SessionStarts
    """

    last_ms: int
    gaps: GapHistogram = field(default_factory=GapHistogram)
    sessions: SessionStarts = field(default_factory=SessionStarts)
