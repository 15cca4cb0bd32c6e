"""Tell whether an entry knows the loads of endpoints."""


class LoadFreshness:
    """Whether control tells this entry loads of endpoints, at the present time.

    Parameters
    ----------
    clock : twisted reactor
    loads : LoadView
    """

    def __init__(self, clock, loads):
        self._clock = clock
        self._loads = loads

    @property
    def is_fresh(self):
        """Return whether a summary of loads arrived in the last seconds."""
        return self._loads.is_told(self._clock.seconds())
