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
        self._at_ms = 0.0
        self.left_by_id = {}
        self.slowdown = 1.0

    def advance(self, now_ms):
        """Let time pass.

        Parameters
        ----------
        now_ms : float
        """
        passed_ms = (now_ms - self._at_ms) * self._speed()
        for load_id in self.left_by_id:
            self.left_by_id[load_id] -= passed_ms
        self._at_ms = now_ms

    def next_end_ms(self):
        """Return when the first load ends, or None.

        Returns
        -------
        float or None
        """
        if not self.left_by_id:
            return None
        return self._at_ms + max(min(self.left_by_id.values()), 0.0) / self._speed()

    def ended(self):
        """Return the ids of loads that are done, in order of start.

        Returns
        -------
        list of str
        """
        return [load_id for load_id, left_ms in self.left_by_id.items() if left_ms <= 0.01]

    def _speed(self):
        crowd = max(len(self.left_by_id) / self._full_speed, 1.0)
        return 1.0 / (crowd * self.slowdown)
