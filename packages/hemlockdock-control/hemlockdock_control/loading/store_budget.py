"""Count the loads that the weight store still allows."""


class StoreBudget:
    """Count the loads that may start now.

    Loads from a host's own memory or disk do not read from the store: they count neither as
    in flight nor, when decided in this round, as starts.

    Attributes
    ----------
    most_at_once : int
    most_a_second : float
    in_flight : int
    starts_ms : list of int
        Starts within the last second.
    """

    WINDOW_MS = 1_000

    def __init__(self, store, in_flight, starts_ms):
        """Start from what is in flight.

        Parameters
        ----------
        store : hemlockdock_core.settings.sections.StoreSection
        in_flight : int
            Model loads from the store now.
        starts_ms : list of int
            When the loads of the last ``WINDOW_MS`` were decided.
        """
        self.most_at_once = store.loads_full_speed
        self.most_a_second = store.loads_per_s
        self.in_flight = in_flight
        self.starts_ms = starts_ms

    @property
    def has_room(self):
        """Tell whether one more load may start now."""
        if self.in_flight >= self.most_at_once:
            return False
        return len(self.starts_ms) + 1 <= max(self.most_a_second, 1.0)

    @property
    def is_quiet(self):
        """Tell whether at most half of the loads at full speed are in flight."""
        return self.in_flight <= self.most_at_once // 2

    @property
    def is_idle(self):
        """Tell whether nothing is read from the store."""
        return self.in_flight == 0

    def take(self, now_ms):
        """Count one more load.

        Parameters
        ----------
        now_ms : int
        """
        self.in_flight += 1
        self.starts_ms.append(now_ms)
