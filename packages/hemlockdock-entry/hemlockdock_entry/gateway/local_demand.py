"""Count the demand for one model at one entry."""

from dataclasses import dataclass, field

from hemlockdock_core.decaying_count import DecayingCount
from hemlockdock_core.messages import LATELY_DECAY_S, ModelDemand

MS_PER_S = 1_000
# Below this count, the demand of lately is not reported again.
MIN_REPORTED_LATELY = 0.5


@dataclass(slots=True)
class LocalDemand:
    """Demand for one model at this entry.

    Attributes
    ----------
    pool, model : str
    arrivals : int
    lately : DecayingCount
        Of arrivals.
    in_flight : int
    waiting : list of ProxyExchange
    return_times_s : list of float
        Times at which refused clients are expected to retry.
    """

    pool: str
    model: str
    arrivals: int = 0
    lately: DecayingCount = field(default_factory=lambda: DecayingCount(LATELY_DECAY_S))
    in_flight: int = 0
    waiting: list = field(default_factory=list)
    return_times_s: list = field(default_factory=list)

    def record_arrival(self, now_s):
        """Count a request.

        Parameters
        ----------
        now_s : float
        """
        self.arrivals += 1
        self.lately.add(1.0, now_s)

    def is_active(self, now_s):
        """Tell whether requests wait, are in flight, expected to be retried, or came lately.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        if self.waiting or self.in_flight or self.return_times_s:
            return True
        return self.lately.at(now_s) >= MIN_REPORTED_LATELY

    def demand(self, now_s):
        """Return the demand as reported to the leader.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        ModelDemand
        """
        self.return_times_s = [at_s for at_s in self.return_times_s if at_s > now_s]
        left = [item.target_s - now_s for item in self.waiting if item.target_s > now_s]
        target_left_ms = round(min(left) * MS_PER_S) if left else 0
        return ModelDemand(
            self.pool,
            self.model,
            self.arrivals,
            len(self.waiting),
            self.in_flight,
            len(left),
            target_left_ms,
            min((item.urgency_rank for item in self.waiting), default=0),
            len(self.return_times_s),
            self.lately.at(now_s),
        )
