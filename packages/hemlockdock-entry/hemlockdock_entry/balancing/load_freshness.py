"""Tell whether control sends this entry the loads of endpoints."""


class LoadFreshness:
    """Whether the rules apply that need the loads of endpoints.

    Parameters
    ----------
    view : LoadView
    clock : twisted reactor
    """

    def __init__(self, view, clock):
        self._view = view
        self._clock = clock

    @property
    def is_fresh(self):
        """Return whether any endpoint's load was reported lately."""
        return self._view.is_fresh(self._clock.seconds())
