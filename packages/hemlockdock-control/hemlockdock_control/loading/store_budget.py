"""Count the loads that the weight store still allows."""

RATE_WINDOW_MS = 1_000


class StoreBudget:
    """Count the loads that may start now.

    Loads from a host's own memory or disk do not touch the store and need no budget.

    Attributes
    ----------
    most_at_once : int
    most_a_second : int
    in_flight : int
    starts_ms : list of int
        Starts within the last second.
    """

    def __init__(self, store, in_flight, starts_ms, now_ms):
        """Start from what is in flight.

        Parameters
        ----------
        store : hemlockdock_core.settings.sections.StoreSection
        in_flight : int
            Model loads from the store now.
        starts_ms : iterable of int
            When recent loads from the store were decided.
        now_ms : int
        """
        self.most_at_once = store.loads_full_speed
        self.most_a_second = store.loads_per_s
        self.in_flight = in_flight
        self.starts_ms = [at_ms for at_ms in starts_ms if at_ms > now_ms - RATE_WINDOW_MS]

    @property
    def has_room(self):
        """Tell whether one more load may start now."""
        if self.in_flight >= self.most_at_once:
            return False
        return len(self.starts_ms) + 1 <= max(self.most_a_second, 1.0)

    def take(self, now_ms):
        """Count one more load.

        Parameters
        ----------
        now_ms : int
        """
        self.in_flight += 1
        self.starts_ms.append(now_ms)
