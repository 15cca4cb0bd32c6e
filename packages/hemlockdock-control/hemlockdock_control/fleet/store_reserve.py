"""Keep a weight store that carries one load free for a moment while last copies leave.

The decisions answer loads under which hosts are replaced in turn while demand moves: a model whose
last copy has just left is asked for by many within seconds, and would wait for the whole load of a
model that one client asked for.
"""

# Fraction of a load's duration for which the store stays free at most.
MAX_FREE_FRACTION = 0.5


class StoreReserve:
    """Track since when the store is free while last copies leave.

    Attributes
    ----------
    names : frozenset of str
        Models whose last copies leave.
    """

    def __init__(self):
        self.names = frozenset()
        self._free_since_s = None

    def observe(self, names, is_store_free, now_s):
        """Record the state of one placement round.

        Parameters
        ----------
        names : frozenset of str
            Models whose last copies leave.
        is_store_free : bool
        now_s : float
        """
        self.names = names
        if not names or not is_store_free:
            self._free_since_s = None
        elif self._free_since_s is None:
            self._free_since_s = now_s

    def holds(self, load_s, now_s):
        """Tell whether loads that are not urgent have to wait.

        Parameters
        ----------
        load_s : float
            Duration of the load.
        now_s : float

        Returns
        -------
        bool
        """
        if self._free_since_s is None:
            return False
        return now_s - self._free_since_s < MAX_FREE_FRACTION * load_s
