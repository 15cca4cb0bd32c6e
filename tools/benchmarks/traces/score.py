"""Hold what a replay measured."""

import math
from dataclasses import dataclass, field

HOUR_MS = 3_600_000


@dataclass(slots=True)
class Score:
    """Hold what a replay measured in the judged days.

    Attributes
    ----------
    first_waits_ms : list of int
        Of requests to a model that had none for a minute; a refused one waited its deadline.
    idle_ms : float
        Time of replicas that serve nothing, from the decision to the end of the unload.
    loads, refused, served : int
    """

    first_waits_ms: list[int] = field(default_factory=list)
    idle_ms: float = 0.0
    loads: int = 0
    refused: int = 0
    served: int = 0

    @property
    def tail_s(self):
        """Return the 99th percentile of the first requests' waits, in seconds."""
        return self.percentile_s(0.99)

    @property
    def idle_hours(self):
        """Return the idle accelerator hours."""
        return self.idle_ms / HOUR_MS

    def percentile_s(self, fraction):
        """Return a percentile of the first requests' waits, by nearest rank, in seconds.

        Parameters
        ----------
        part : float

        Returns
        -------
        float
        """
        waits = sorted(self.first_waits_ms)
        rank = max(math.ceil(fraction * len(waits)), 1)
        return waits[rank - 1] / 1_000

    def add(self, other):
        """Add another seed's score.

        Parameters
        ----------
        other : Score
        """
        self.first_waits_ms += other.first_waits_ms
        self.idle_ms += other.idle_ms
        self.loads += other.loads
        self.refused += other.refused
        self.served += other.served
