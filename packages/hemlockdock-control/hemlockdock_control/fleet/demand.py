"""Aggregate the demand for each model over all entries."""

from dataclasses import dataclass, field

from hemlockdock_core.decaying_count import DecayingCount
from hemlockdock_core.messages import LATELY_DECAY_S

# Time constant of the exponentially decaying arrival rate. Short, because demand shifts between
# models within seconds.
RATE_DECAY_S = 2.5
MS_PER_S = 1_000


@dataclass(slots=True)
class AggregatedDemand:
    """Demand for one model, aggregated over all entries.

    Attributes
    ----------
    arrivals : DecayingCount
        Of arrivals, from which the arrival rate is taken.
    asked : DecayingCount
        Of arrivals, over a longer time.
    asked_by_entry : dict of str to DecayingCount
        What each entry counted itself, so that it outlives the leader that it was reported to.
    last_asked_s : float
        Time of the last arrival.
    waiting_since_s : float
        Time since which at least one request has been waiting continuously.
    target_s_by_entry : dict of str to float
        Earliest latency target that an entry can still meet.
    demand_by_entry : dict of str to ModelDemand
        Latest demand reported by each entry.
    waiting, returning, in_flight : int
        Totals over all entries: requests that wait, refused requests whose clients are expected to
        retry, and requests in flight.
    """

    arrivals: DecayingCount = field(default_factory=lambda: DecayingCount(RATE_DECAY_S))
    asked: DecayingCount = field(default_factory=lambda: DecayingCount(LATELY_DECAY_S))
    asked_by_entry: dict = field(default_factory=dict)
    last_asked_s: float = float("-inf")
    waiting_since_s: float = 0.0
    target_s_by_entry: dict = field(default_factory=dict)
    demand_by_entry: dict = field(default_factory=dict)
    waiting: int = 0
    returning: int = 0
    in_flight: int = 0

    @property
    def urgency(self):
        """Return the highest urgency among waiting requests; 0 is the most urgent."""
        waiting = [demand.urgency for demand in self.demand_by_entry.values() if demand.waiting]
        return min(waiting, default=0)

    def set_entry_demand(self, entry_id, demand):
        """Replace the demand that an entry reported last.

        Parameters
        ----------
        entry_id : str
        demand : ModelDemand or None
            None for an entry that is gone.
        """
        previous = self.demand_by_entry.pop(entry_id, None)
        self.target_s_by_entry.pop(entry_id, None)
        if previous is not None:
            self._add(previous, -1)
        if demand is not None:
            self.demand_by_entry[entry_id] = demand
            self._add(demand, 1)

    def _add(self, demand, sign):
        self.waiting += sign * demand.waiting
        self.returning += sign * demand.returning
        self.in_flight += sign * demand.in_flight

    def earliest_target_s(self, now_s):
        """Return the earliest latency target that is later than ``now_s``.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float or None
            None if no waiting request has such a target.
        """
        targets = [at_s for at_s in self.target_s_by_entry.values() if at_s > now_s]
        return min(targets) if targets else None

    def rate_now(self, now_s):
        """Return the arrival rate per second, decayed to ``now_s``.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        return self.arrivals.at(now_s) / RATE_DECAY_S

    def lately_asked(self, now_s):
        """Return the number of arrivals of about the last 15 s.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        return self.asked.at(now_s)

    def record_arrivals(self, count, now_s):
        """Add arrivals to the average rate.

        Parameters
        ----------
        count : float
        now_s : float
        """
        self.arrivals.add(count, now_s)
        self.last_asked_s = now_s

    def set_asked(self, entry_id, lately, now_s):
        """Replace what an entry counted lately.

        Parameters
        ----------
        entry_id : str
        lately : float
        now_s : float
        """
        known = self.asked_by_entry.setdefault(entry_id, DecayingCount(LATELY_DECAY_S))
        change = lately - known.at(now_s)
        known.add(change, now_s)
        self.asked.add(change, now_s)


class DemandAggregator:
    """Aggregate the demand reports of all entries.

    Attributes
    ----------
    demand_by_model : dict of (str, str) to AggregatedDemand
        Keyed by pool and model.
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Discard all recorded demand."""
        self.demand_by_model = {}
        self._first_request_s = None

    @property
    def has_requests(self):
        """Tell whether any request has been reported."""
        return self._first_request_s is not None

    def is_early(self, now_s, early_s):
        """Tell whether the first request arrived less than ``early_s`` ago, or none has arrived.

        Parameters
        ----------
        now_s, early_s : float

        Returns
        -------
        bool
        """
        return self._first_request_s is None or now_s - self._first_request_s < early_s

    def record_report(self, entry_id, report, now_s):
        """Record an entry's demand report.

        Parameters
        ----------
        entry_id : str
        report : DemandReport
        now_s : float
        """
        for demand in report.demands:
            use = self.demand_by_model.setdefault((demand.pool, demand.model), AggregatedDemand())
            previous = use.demand_by_entry.get(entry_id)
            new_arrivals = _new_arrivals(previous, demand)
            if new_arrivals:
                use.record_arrivals(new_arrivals, now_s)
                self._first_request_s = self._first_request_s or now_s
            if demand.lately is None:
                use.asked.add(new_arrivals, now_s)
            else:
                if previous is not None and demand.arrivals < previous.arrivals:
                    # What it counted before it was started anew was asked for nevertheless.
                    use.asked_by_entry.pop(entry_id, None)
                use.set_asked(entry_id, demand.lately, now_s)
            was_waiting = use.waiting > 0
            use.set_entry_demand(entry_id, demand)
            if demand.in_time:
                use.target_s_by_entry[entry_id] = now_s + demand.target_left_ms / MS_PER_S
            if use.waiting and not was_waiting:
                use.waiting_since_s = now_s

    def forget_entry(self, entry_id):
        """Discard the waiting and in-flight requests that an entry reported.

        What was asked for lately there counts on, as its clients go to other entries.

        Parameters
        ----------
        entry_id : str
        """
        for use in self.demand_by_model.values():
            use.set_entry_demand(entry_id, None)
            use.asked_by_entry.pop(entry_id, None)


def _new_arrivals(previous, demand):
    """Return how many requests arrived since an entry's previous report.

    Parameters
    ----------
    previous, demand : ModelDemand
        ``previous`` is None if this leader has no report of the entry.

    Returns
    -------
    float
    """
    if previous is None and demand.lately is not None:
        # Its counter may go back to long before this leader; at least one request is new.
        return min(demand.arrivals, 1.0 + demand.lately * RATE_DECAY_S / LATELY_DECAY_S)
    known = 0 if previous is None else previous.arrivals
    # The arrival counter is lower than before only if the entry was restarted.
    return demand.arrivals - known if demand.arrivals >= known else demand.arrivals
