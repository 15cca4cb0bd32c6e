"""Adaptive estimate of how many concurrent loads the weight store supports at full speed.

That number is neither configured nor reported. Above it, each load takes proportionally longer, so
that an overloaded store delivers nothing in time. The estimate matters when many models have no
copy on any host.
"""

from dataclasses import dataclass

# Kept low because on a store that supports one load, a model in high demand is delayed by all loads
# started before it.
INITIAL_CONCURRENCY = 2
# When a load finishes in time that started with at least as many in progress as the estimate, the
# estimate is raised: doubled up to this value, then by one.
DOUBLING_LIMIT = 4
MAX_CONCURRENCY = 16
# Loads take slightly longer than nominal because of orders, reports and the preceding part
# of the exchange.
SLOW_LOAD_FACTOR = 1.2
# Added before rounding down, so that a small delay with another cause does not lower the estimate.
ROUNDING_MARGIN = 0.25
# Minimum time between raises of the estimate after loads have been slow.
RAISE_INTERVAL_S = 30.0


@dataclass(slots=True)
class _Load:
    """A load in progress.

    Attributes
    ----------
    nominal_s, started_s : float
    concurrent_at_start : int
        Loads in progress when it started, including itself.
    max_concurrent : int
        Maximum number of loads in progress at any time since then.
    """

    nominal_s: float
    started_s: float
    concurrent_at_start: int
    max_concurrent: int


class StoreConcurrencyEstimator:
    """Estimate the store's concurrency from loads, of this leader and of others.

    Attributes
    ----------
    concurrency_limit : int
        Estimated number of concurrent loads at full speed.
    is_measured : bool
        Whether the estimate is based on a load that ran beside another, or on one that was late.
    """

    def __init__(self):
        self.concurrency_limit = INITIAL_CONCURRENCY
        self.is_measured = False
        self._has_evidence = False
        self._load_by_key = {}
        self._backoff_start_s = None

    @property
    def measured_limit(self):
        """Return the estimate if it is measured, else 0."""
        return self.concurrency_limit if self.is_measured else 0

    @property
    def is_measuring(self):
        """Tell whether a load is in progress that started beside another one."""
        return any(load.concurrent_at_start > 1 for load in self._load_by_key.values())

    def record_start(self, key, nominal_s, now_s):
        """Record the start of a load, unless it is known.

        Parameters
        ----------
        key : tuple of (str, str)
            Endpoint id and model.
        nominal_s : float
            Duration at full speed.
        now_s : float
        """
        if key in self._load_by_key:
            return
        in_progress = len(self._load_by_key) + 1
        for load in self._load_by_key.values():
            load.max_concurrent = max(load.max_concurrent, in_progress)
        self._load_by_key[key] = _Load(nominal_s, now_s, in_progress, in_progress)

    def adopt(self, concurrency_limit, now_s):
        """Adopt what was measured before this member started, unless it has measured itself.

        Parameters
        ----------
        concurrency_limit : int
        now_s : float
        """
        if self._has_evidence:
            return
        self._has_evidence = True
        self.is_measured = True
        self.concurrency_limit = concurrency_limit
        self._backoff_start_s = now_s

    def forget_active_loads(self):
        """Stop tracking the loads in progress."""
        self._load_by_key = {}

    def record_end(self, key, loaded, now_s, earliest_s=None):
        """Record the end of a load; loads that are not from the store are ignored.

        Parameters
        ----------
        key : tuple of (str, str)
            Endpoint id and model.
        loaded : bool
            Whether the model is loaded now.
        now_s : float
        earliest_s : float, optional
            Earliest time at which it may have ended, if that was not observed.
        """
        load = self._load_by_key.pop(key, None)
        if load is None or not loaded:
            return
        if earliest_s is None:
            earliest_s = now_s
        limit_s = SLOW_LOAD_FACTOR * load.nominal_s
        took_s = now_s - load.started_s
        if earliest_s - load.started_s > limit_s:
            self._lower_estimate(load, took_s, now_s)
            return
        if took_s > limit_s:
            # It may have ended in time.
            return
        later = self._load_started_with(load)
        if later is not None:
            # Which of them the store began first is unknown; the last one to end tells.
            later.concurrent_at_start = max(later.concurrent_at_start, load.concurrent_at_start)
            return
        self.is_measured = self.is_measured or load.concurrent_at_start > 1
        self._has_evidence = self._has_evidence or self.is_measured
        if load.concurrent_at_start >= self.concurrency_limit:
            self._raise_estimate(load, now_s)

    def check_overdue(self, now_s, keys=None):
        """Lower the estimate if loads in progress are overdue.

        Parameters
        ----------
        now_s : float
        keys : collection of tuple of (str, str), optional
            Endpoint ids and models of the loads that are known to be in progress; all by default.
        """
        for key, load in self._load_by_key.items():
            if keys is not None and key not in keys:
                continue
            took_s = now_s - load.started_s
            if took_s > SLOW_LOAD_FACTOR * load.nominal_s:
                self._lower_estimate(load, took_s, now_s)

    def _load_started_with(self, load):
        """Return a load in progress that the store may have begun before another one, or None."""
        uncertainty_s = (SLOW_LOAD_FACTOR - 1.0) * load.nominal_s
        for other in self._load_by_key.values():
            if abs(other.started_s - load.started_s) <= uncertainty_s:
                return other
        return None

    def _raise_estimate(self, load, now_s):
        if self._backoff_start_s is not None and now_s - self._backoff_start_s < RAISE_INTERVAL_S:
            return
        if self._backoff_start_s is None and self.concurrency_limit < DOUBLING_LIMIT:
            self.concurrency_limit = min(DOUBLING_LIMIT, 2 * self.concurrency_limit)
        else:
            self.concurrency_limit = min(MAX_CONCURRENCY, self.concurrency_limit + 1)
        if self._backoff_start_s is not None:
            self._backoff_start_s = now_s
        # One that ran alone tells nothing of two.
        self.is_measured = self.is_measured and load.concurrent_at_start > 1

    def _lower_estimate(self, load, took_s, now_s):
        self.is_measured = True
        self._has_evidence = True
        supported = max(1, int(load.max_concurrent * load.nominal_s / took_s + ROUNDING_MARGIN))
        if supported < self.concurrency_limit:
            self.concurrency_limit = supported
            self._backoff_start_s = now_s
