"""Define the measurements of a replay."""

import math
from dataclasses import dataclass, field

HOUR_MS = 3_600_000


@dataclass(slots=True)
class Score:
    """Measurements of a replay, taken on the measured days only.

    Attributes
    ----------
    first_waits_ms : list of int
        Waits of requests to a model that had no request for a minute. For a refused request,
        its whole deadline.
    idle_ms : float
        Time that replicas spend without a request, counted from the decision to load to the
        end of the unload.
    loads, refused, served : int
    """

    first_waits_ms: list[int] = field(default_factory=list)
    idle_ms: float = 0.0
    loads: int = 0
    refused: int = 0
    served: int = 0

    @property
    def tail_s(self):
        """Return the 99th percentile of the waits of first requests, in seconds."""
        return self.percentile_s(0.99)

    @property
    def idle_hours(self):
        """Return the idle time in accelerator hours."""
        return self.idle_ms / HOUR_MS

    def percentile_s(self, fraction):
        """Return a percentile of the waits of first requests in seconds, by nearest rank.

        Parameters
        ----------
        fraction : float
            The percentile divided by 100.

        Returns
        -------
        float
        """
        waits = sorted(self.first_waits_ms)
        rank = max(math.ceil(fraction * len(waits)), 1)
        return waits[rank - 1] / 1_000

    def add(self, other):
        """Add the measurements of another seed.

        Parameters
        ----------
        other : Score
        """
        self.first_waits_ms += other.first_waits_ms
        self.idle_ms += other.idle_ms
        self.loads += other.loads
        self.refused += other.refused
        self.served += other.served
