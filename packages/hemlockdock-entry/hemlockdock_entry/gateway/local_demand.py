"""Count the demand for one model at one entry."""

from dataclasses import dataclass, field

from hemlockdock_core.messages import ModelDemand

MS_PER_S = 1_000


@dataclass(slots=True)
class LocalDemand:
    """Demand for one model at this entry.

    Attributes
    ----------
    pool, model : str
    arrivals : int
    in_flight : int
    waiting : list of ProxyExchange
    return_times_s : list of float
        Times at which refused clients are expected to retry.
    """

    pool: str
    model: str
    arrivals: int = 0
    in_flight: int = 0
    waiting: list = field(default_factory=list)
    return_times_s: list = field(default_factory=list)

    @property
    def is_active(self):
        """Return whether requests are waiting, in flight or expected to be retried."""
        return bool(self.waiting or self.in_flight or self.return_times_s)

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
            min((item.route.urgency for item in self.waiting), default=0),
            len(self.return_times_s),
        )
