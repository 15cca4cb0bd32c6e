"""Simulate the weight store: concurrent loads beyond a limit slow new loads down in proportion."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreLoad:
    """A load that the store has begun.

    Attributes
    ----------
    begun_s, takes_s : float
    concurrent : int
        Loads in progress when it began, including itself.
    """

    begun_s: float
    takes_s: float
    concurrent: int


class SimulatedWeightStore:
    """Simulate the weight store.

    The duration of a load is fixed when it begins, from the number of loads in progress.

    Parameters
    ----------
    full_speed_loads : int
        Number of concurrent loads served at full speed.
    events : EventQueue

    Attributes
    ----------
    loads : list of StoreLoad
        All loads, in the order in which they began.
    """

    def __init__(self, full_speed_loads, events):
        self.loads = []
        self._events = events
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
        self._active_loads += 1
        takes_s = full_speed_s * max(1.0, self._active_loads / self._full_speed_loads)
        self.loads.append(StoreLoad(self._events.now_s, takes_s, self._active_loads))
        return takes_s

    def end(self):
        """Record that a load has ended."""
        self._active_loads -= 1
