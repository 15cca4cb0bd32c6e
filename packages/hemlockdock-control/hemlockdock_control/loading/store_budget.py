"""Limit the number and rate of loads from the weight store."""


class StoreBudget:
    """Track how many loads from the weight store may start now.

    Loads from a host's own memory or disk do not read from the store, so they count neither
    as in flight nor, if decided in this round, as starts.

    Attributes
    ----------
    max_in_flight : int
    max_starts_per_s : float
    in_flight : int
    starts_ms : list of int
        Starts within the last second.
    """

    WINDOW_MS = 1_000

    def __init__(self, store, in_flight, starts_ms):
        """Create a budget from the loads in flight and the recent starts.

        Parameters
        ----------
        store : hemlockdock_core.settings.sections.StoreSection
        in_flight : int
            Number of model loads that read from the store now.
        starts_ms : list of int
            Decision times of the loads within the last ``WINDOW_MS``.
        """
        self.max_in_flight = store.loads_full_speed
        self.max_starts_per_s = store.loads_per_s
        self.in_flight = in_flight
        self.starts_ms = starts_ms

    @property
    def has_capacity(self):
        """Return whether one more load may start now."""
        if self.in_flight >= self.max_in_flight:
            return False
        return len(self.starts_ms) + 1 <= max(self.max_starts_per_s, 1.0)

    @property
    def is_lightly_loaded(self):
        """Return whether at most half of the permitted loads are in flight."""
        return self.in_flight <= self.max_in_flight // 2

    @property
    def is_idle(self):
        """Return whether no load reads from the store."""
        return self.in_flight == 0

    def acquire(self, now_ms):
        """Account for one more load.

        Parameters
        ----------
        now_ms : int
        """
        self.in_flight += 1
        self.starts_ms.append(now_ms)
