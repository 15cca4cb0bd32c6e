"""Simulate a weight store whose bandwidth is shared by concurrent loads."""


class SharedStore:
    """Weight store whose bandwidth is shared by concurrent loads.

    Up to ``full_speed`` loads run at full speed. With more, the bandwidth is divided equally.

    Attributes
    ----------
    remaining_ms_by_id : dict of str to float
        Remaining time of each load at full speed.
    slowdown : float
        Factor by which the store is slower than nominal.
    """

    def __init__(self, full_speed):
        """Create a store without loads.

        Parameters
        ----------
        full_speed : int
            Number of concurrent loads that run at full speed.
        """
        self._full_speed = full_speed
        self._advanced_to_ms = 0.0
        self.remaining_ms_by_id = {}
        self.slowdown = 1.0

    def advance(self, now_ms):
        """Advance all loads to a time.

        Parameters
        ----------
        now_ms : float
        """
        progress_ms = (now_ms - self._advanced_to_ms) * self._speed_per_load()
        for load_id in self.remaining_ms_by_id:
            self.remaining_ms_by_id[load_id] -= progress_ms
        self._advanced_to_ms = now_ms

    def next_finish_ms(self):
        """Return the time at which the next load finishes, or None without loads.

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
        """Return the ids of finished loads, in order of start.

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
