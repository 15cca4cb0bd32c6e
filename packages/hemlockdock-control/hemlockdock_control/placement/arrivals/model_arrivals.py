"""Hold the arrival history of one model."""

from dataclasses import dataclass, field

from hemlockdock_control.placement.arrivals.gap_histogram import GapHistogram
from hemlockdock_control.placement.arrivals.session_starts import SessionStarts


@dataclass(slots=True)
class ModelArrivals:
    """Hold the arrival history of one model.

    Attributes
    ----------
    last_ms : int
        Time of the last arrival.
    gaps : GapHistogram
        Gaps between requests, in time weighted by daily activity.
    sessions : SessionStarts
    """

    last_ms: int
    gaps: GapHistogram = field(default_factory=GapHistogram)
    sessions: SessionStarts = field(default_factory=SessionStarts)
