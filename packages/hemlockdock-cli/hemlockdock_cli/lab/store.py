"""Simulate the weight store: concurrent loads beyond a limit slow new loads down in proportion."""


class SimulatedWeightStore:
    """Simulate the weight store.

    The duration of a load is fixed when it begins, from the number of loads in progress.

    Parameters
    ----------
    full_speed_loads : int
        Number of concurrent loads served at full speed.

    Attributes
    ----------
    loads_started : int
    """

    def __init__(self, full_speed_loads):
        self.loads_started = 0
        self._full_speed_loads = full_speed_loads
        self._active_loads = 0

    def begin(self, full_speed_s):
        """Begin a load.

        Parameters
        ----------
        full_speed_s : float
            Duration at full speed.

        Returns
        -------
        float
            Duration of the load in seconds.
        """
        self.loads_started += 1
        self._active_loads += 1
        return full_speed_s * max(1.0, self._active_loads / self._full_speed_loads)

    def end(self):
        """Record that a load has ended."""
        self._active_loads -= 1
