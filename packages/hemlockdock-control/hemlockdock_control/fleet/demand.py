"""Add up how models are asked for at all entries."""

import math
from dataclasses import dataclass, field

# Demand moves from model to model within seconds.
RATE_MEMORY_S = 2.5
MS_PER_S = 1_000


@dataclass(slots=True)
class ModelUse:
    """Hold how one model is asked for, over all entries.

    Attributes
    ----------
    rate_per_s : float
        Arrivals, averaged over some seconds.
    rate_at_s : float
        When that was computed.
    last_asked_s : float
    waiting_since_s : float
        Since when requests have been waiting without a break.
    target_s_by_entry : dict of str to float
        When the first target passes that can still be met at an entry.
    demand_by_entry : dict of str to ModelDemand
    """

    rate_per_s: float = 0.0
    rate_at_s: float = 0.0
    last_asked_s: float = float("-inf")
    waiting_since_s: float = 0.0
    target_s_by_entry: dict = field(default_factory=dict)
    demand_by_entry: dict = field(default_factory=dict)

    @property
    def waiting(self):
        """Return how many requests wait."""
        return sum(demand.waiting for demand in self.demand_by_entry.values())

    @property
    def returning(self):
        """Return how many refused requests will come back."""
        return sum(demand.returning for demand in self.demand_by_entry.values())

    @property
    def urgency(self):
        """Return the urgency of the most urgent waiting request; 0 is the most urgent."""
        waiting = [demand.urgency for demand in self.demand_by_entry.values() if demand.waiting]
        return min(waiting, default=0)

    @property
    def in_flight(self):
        """Return how many requests run."""
        return sum(demand.in_flight for demand in self.demand_by_entry.values())

    def first_target_s(self, now_s):
        """Return when the first target passes that can still be met.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float or None
            None where no waiting request has one.
        """
        targets = [at_s for at_s in self.target_s_by_entry.values() if at_s > now_s]
        return min(targets) if targets else None

    def rate_now(self, now_s):
        """Return the arrivals a second, as of now.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        return self.rate_per_s * math.exp((self.rate_at_s - now_s) / RATE_MEMORY_S)

    def arrived(self, count, now_s):
        """Count arrivals.

        Parameters
        ----------
        count : int
        now_s : float
        """
        self.rate_per_s = self.rate_now(now_s) + count / RATE_MEMORY_S
        self.rate_at_s = now_s
        self.last_asked_s = now_s


class DemandBoard:
    """Add up what entries report.

    Attributes
    ----------
    use_by_model : dict of (str, str) to ModelUse
        By pool and model.
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget everything."""
        self.use_by_model = {}
        self._first_asked_s = None

    def is_early(self, now_s, early_s):
        """Tell whether models have not been asked for, or only for a short time.

        Parameters
        ----------
        now_s, early_s : float

        Returns
        -------
        bool
        """
        return self._first_asked_s is None or now_s - self._first_asked_s < early_s

    def take(self, entry_id, report, now_s):
        """Take an entry's report.

        Parameters
        ----------
        entry_id : str
        report : DemandReport
        now_s : float
        """
        for demand in report.demands:
            use = self.use_by_model.setdefault((demand.pool, demand.model), ModelUse())
            before = use.demand_by_entry.get(entry_id)
            known = before.arrivals if before is not None else 0
            # A count that went back is that of an entry that started anew.
            arrived = demand.arrivals - known if demand.arrivals >= known else demand.arrivals
            if arrived:
                use.arrived(arrived, now_s)
                self._first_asked_s = self._first_asked_s or now_s
            was_waiting = use.waiting > 0
            use.demand_by_entry[entry_id] = demand
            use.target_s_by_entry.pop(entry_id, None)
            if demand.in_time:
                use.target_s_by_entry[entry_id] = now_s + demand.target_left_ms / MS_PER_S
            if use.waiting and not was_waiting:
                use.waiting_since_s = now_s

    def forget(self, entry_id):
        """Forget what an entry reported to wait and run.

        Parameters
        ----------
        entry_id : str
        """
        for use in self.use_by_model.values():
            use.demand_by_entry.pop(entry_id, None)
            use.target_s_by_entry.pop(entry_id, None)
