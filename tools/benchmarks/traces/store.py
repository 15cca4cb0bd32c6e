"""Share the weight store among the loads in flight."""


class SharedStore:
    """Share the weight store's speed among the loads in flight.

    Up to ``full_speed`` loads run at full speed; more than that slow each other in proportion.

    Attributes
    ----------
    left_by_id : dict of str to float
        Full-speed milliseconds that each load still needs.
    slowdown : float
    """

    def __init__(self, full_speed):
        """Start with no load.

        Parameters
        ----------
        full_speed : int
        """
        self._full_speed = full_speed
        self._advanced_to_ms = 0.0
        self.remaining_ms_by_id = {}
        self.slowdown = 1.0

    def advance(self, now_ms):
        """Let time pass.

        Parameters
        ----------
        now_ms : float
        """
        progress_ms = (now_ms - self._advanced_to_ms) * self._speed_per_load()
        for load_id in self.remaining_ms_by_id:
            self.remaining_ms_by_id[load_id] -= progress_ms
        self._advanced_to_ms = now_ms

    def next_finish_ms(self):
        """Return when the first load ends, or None.

        Returns
        -------
        float or None
        """
        if not self.remaining_ms_by_id:
            return None
        return (
            self._advanced_to_ms
            + max(min(self.remaining_ms_by_id.values()), 0.0) / self._speed_per_load()
        )

    def finished_ids(self):
        """Return the ids of loads that are done, in order of start.

        Returns
        -------
        list of str
        """
        return [
            load_id
            for load_id, remaining_ms in self.remaining_ms_by_id.items()
            if remaining_ms <= 0.01
        ]

    def _speed_per_load(self):
        contention = max(len(self.remaining_ms_by_id) / self._full_speed, 1.0)
        return 1.0 / (contention * self.slowdown)
