"""Count events so that older ones count exponentially less."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingCount:
    """Exponentially decaying count of events.

    Attributes
    ----------
    decay_s : float
        Time in which an event's weight falls to 1/e.
    value : float
        The count as of ``at_s``.
    at_s : float
    """

    decay_s: float
    value: float = 0.0
    at_s: float = 0.0

    def at(self, now_s):
        """Return the count, decayed to a time.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        return self.value * math.exp((self.at_s - now_s) / self.decay_s)

    def add(self, count, now_s):
        """Count events.

        Parameters
        ----------
        count : float
            Negative to take some back.
        now_s : float
        """
        self.value = max(0.0, self.at(now_s) + count)
        self.at_s = now_s
