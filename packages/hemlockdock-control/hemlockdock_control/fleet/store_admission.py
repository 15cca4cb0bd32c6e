"""Decide whether another load from the weight store may start.

The decisions answer loads that request many models which only the store has: it carries few loads
at full speed, and each one started beyond that takes proportionally longer.
"""

from hemlockdock_control.fleet.store_reserve import StoreReserve

# Concurrent store loads that models in low demand must leave free for a model in high demand.
RESERVED_STORE_LOADS = 1
HIGH_DEMAND_REQUESTS = 4.0
# At this demand, a load may exceed the store's full speed if it ends sooner than one that waits for
# another load to end, and takes a store that is kept free for models whose last copies leave.
VERY_HIGH_DEMAND_REQUESTS = 12.0
STORE_OVERCOMMIT_FACTOR = 1.5
# Until the store's concurrency is measured, the loads in progress may take at most this long if the
# store runs them one at a time: models requested later have to wait for all of them.
UNMEASURED_STORE_BACKLOG_S = 12.0
# Until then, a second load starts only while the first one has at least this fraction of its
# duration left: on a store that supports one load, it then ends hardly later than in turn, and on
# one that supports more it shows so as early as possible.
MIN_FRACTION_LEFT = 0.9
MS_PER_S = 1_000.0


class StoreAdmission:
    """Count the loads in progress at the store, and decide whether another one may start.

    Parameters
    ----------
    estimator : StoreConcurrencyEstimator
    views : iterable of EngineView
    lost_ends_s : list of float, optional
        Planned ends of loads that were lost with their engines.
    reserve : StoreReserve, optional

    Attributes
    ----------
    decided_loads : int
        Loads that this leader decided.
    inherited_loads : int
        Loads that an earlier leader decided.
    lost_loads : int
        Loads that the store goes on with though their engines are lost.
    """

    def __init__(self, estimator, views, lost_ends_s=(), reserve=None):
        self._estimator = estimator
        self._reserve = reserve or StoreReserve()
        self.decided_loads = 0
        self.inherited_loads = 0
        self.lost_loads = len(lost_ends_s)
        self._next_end_s = min(lost_ends_s, default=float("inf"))
        self._all_have_begun = True
        for view in views:
            if not view.occupies_store:
                continue
            if view.pending is not None:
                self.decided_loads += 1
                self._next_end_s = min(self._next_end_s, view.pending.ready_s)
                self._all_have_begun = self._all_have_begun and view.loads_pending_model
            else:
                self.inherited_loads += 1
                # Its end is not known, and may be near.
                self._next_end_s = float("-inf")

    @property
    def active_loads(self):
        """Return the number of loads in progress."""
        return self.decided_loads + self.inherited_loads + self.lost_loads

    @property
    def concurrency_limit(self):
        """Return the estimated number of concurrent loads at full speed."""
        return self._estimator.concurrency_limit

    @property
    def is_measured(self):
        """Return whether that number is known."""
        return self._estimator.is_measured

    def record_start(self, ends_s):
        """Count a load that was decided in this round.

        Parameters
        ----------
        ends_s : float
            Expected end of the load.
        """
        self.decided_loads += 1
        self._next_end_s = min(self._next_end_s, ends_s)
        self._all_have_begun = False

    def load_s(self, spec):
        """Return the expected duration of a load that starts now.

        Until the store is measured, it is taken to support one load.

        Parameters
        ----------
        spec : ModelSpec

        Returns
        -------
        float
        """
        limit = self._estimator.concurrency_limit if self._estimator.is_measured else 1
        crowding = max(1.0, (self.active_loads + 1) / limit)
        return crowding * spec.store_load_ms / MS_PER_S

    def may_start(self, spec, demand, now_s):
        """Tell whether a load for waiting requests may start.

        Parameters
        ----------
        spec : ModelSpec
        demand : float
            Number of requests that wait for the model or will soon.
        now_s : float

        Returns
        -------
        bool
        """
        full_speed_loads = self._full_speed_loads(spec)
        limit = max(1, full_speed_loads - RESERVED_STORE_LOADS)
        if demand >= HIGH_DEMAND_REQUESTS:
            limit = full_speed_loads
        if self.active_loads < limit:
            return True
        if not self._estimator.is_measured:
            return self._may_measure(spec, now_s)
        return demand >= VERY_HIGH_DEMAND_REQUESTS and self._may_exceed_full_speed(spec, now_s)

    def is_reserved(self, spec, demand, now_s):
        """Tell whether the store stays free, for models whose last copies are about to leave.

        Parameters
        ----------
        spec : ModelSpec
        demand : float
            Number of requests that wait for the model, will soon, or were refused lately.
        now_s : float

        Returns
        -------
        bool
        """
        if self._full_speed_loads(spec) > RESERVED_STORE_LOADS:
            return False
        urgent_requests = VERY_HIGH_DEMAND_REQUESTS
        if spec.name in self._reserve.names:
            urgent_requests = HIGH_DEMAND_REQUESTS
        if demand >= urgent_requests:
            return False
        return self._reserve.holds(spec.store_load_ms / MS_PER_S, now_s)

    def _full_speed_loads(self, spec):
        """Return how many loads of a model may be in progress at full speed, as far as known."""
        limit = self._estimator.concurrency_limit
        if self._estimator.is_measured:
            return limit
        return min(limit, _unmeasured_limit(spec))

    def _may_measure(self, spec, now_s):
        """Tell whether a load may start beside another to find out how many the store supports.

        If the store had not begun the other one yet, this one could delay it.
        """
        if (self.active_loads, self.decided_loads) != (1, 1) or not self._all_have_begun:
            return False
        if self._estimator.concurrency_limit < 2 or self._estimator.is_measuring:
            return False
        left_s = self._next_end_s - now_s
        return left_s >= MIN_FRACTION_LEFT * spec.store_load_ms / MS_PER_S

    def _may_exceed_full_speed(self, spec, now_s):
        load_s = spec.store_load_ms / MS_PER_S
        wait_s = self._next_end_s - now_s
        limit = self._estimator.concurrency_limit
        # Each load beyond the limit makes this one longer by a share of a load at full speed.
        is_sooner = wait_s > load_s / limit
        return is_sooner and self.active_loads < int(limit * STORE_OVERCOMMIT_FACTOR)

    def may_prefetch(self, spec):
        """Tell whether a load that no request waits for may start.

        All loads of this kind together take ``UNMEASURED_STORE_BACKLOG_S`` at most, or are a single
        one: the store is worth more once it is known what clients ask for.

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
