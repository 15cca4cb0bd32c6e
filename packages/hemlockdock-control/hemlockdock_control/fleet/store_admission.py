"""Decide whether another load from the weight store may start.

The decisions answer loads that request many models which only the store has: it carries few loads
at full speed, and each one started beyond that takes proportionally longer.
"""

# Concurrent store loads that models in low demand must leave free for a model in high demand.
RESERVED_STORE_LOADS = 1
HIGH_DEMAND_REQUESTS = 4.0
# At this demand, a load is worth exceeding the store's full speed, although all loads then take
# longer.
VERY_HIGH_DEMAND_REQUESTS = 12.0
STORE_OVERCOMMIT_FACTOR = 1.5
# Until the store's concurrency is measured, the loads in progress may take at most this long if the
# store runs them one at a time: models requested later have to wait for all of them.
UNMEASURED_STORE_BACKLOG_S = 12.0
MS_PER_S = 1_000.0


class StoreAdmission:
    """Count the loads in progress at the store, and decide whether another one may start.

    Parameters
    ----------
    estimator : StoreConcurrencyEstimator
    views : iterable of EngineView

    Attributes
    ----------
    decided_loads : int
        Loads that this leader decided.
    inherited_loads : int
        Loads that an earlier leader decided.
    """

    def __init__(self, estimator, views):
        self._estimator = estimator
        self.decided_loads = 0
        self.inherited_loads = 0
        for view in views:
            if not view.occupies_store:
                continue
            if view.pending is not None:
                self.decided_loads += 1
            else:
                self.inherited_loads += 1

    @property
    def active_loads(self):
        """Return the number of loads in progress."""
        return self.decided_loads + self.inherited_loads

    @property
    def concurrency_limit(self):
        """Return the estimated number of concurrent loads at full speed."""
        return self._estimator.concurrency_limit

    def record_start(self):
        """Count a load that was decided in this round."""
        self.decided_loads += 1

    def load_s(self, spec):
        """Return the expected duration of a load that starts now.

        Parameters
        ----------
        spec : ModelSpec

        Returns
        -------
        float
        """
        crowding = max(1.0, (self.active_loads + 1) / self._estimator.concurrency_limit)
        return crowding * spec.store_load_ms / MS_PER_S

    def may_start(self, spec, demand):
        """Tell whether a load for waiting requests may start.

        Parameters
        ----------
        spec : ModelSpec
        demand : float
            Number of requests that wait for the model or will soon.

        Returns
        -------
        bool
        """
        concurrency_limit = self._estimator.concurrency_limit
        is_measured = self._estimator.is_measured
        if not is_measured and demand < VERY_HIGH_DEMAND_REQUESTS:
            concurrency_limit = min(concurrency_limit, _unmeasured_limit(spec))
        limit = max(1, concurrency_limit - RESERVED_STORE_LOADS)
        if demand >= HIGH_DEMAND_REQUESTS:
            limit = concurrency_limit
        if demand >= VERY_HIGH_DEMAND_REQUESTS and is_measured:
            limit = int(concurrency_limit * STORE_OVERCOMMIT_FACTOR)
        return self.active_loads < limit

    def may_prefetch(self, spec):
        """Tell whether a load that no request waits for may start.

        Parameters
        ----------
        spec : ModelSpec

        Returns
        -------
        bool
        """
        return self.active_loads < _unmeasured_limit(spec)


def _unmeasured_limit(spec):
    """Return how many loads of a model may be in progress before the store is measured."""
    return max(1, int(UNMEASURED_STORE_BACKLOG_S * MS_PER_S / max(1, spec.store_load_ms)))
