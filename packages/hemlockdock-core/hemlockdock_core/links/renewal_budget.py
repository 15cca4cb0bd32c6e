"""How many connections a process replaces within a second."""

from collections import deque
from weakref import WeakKeyDictionary

# Replacing one takes about a millisecond on each side. A process that is slow for a moment, or
# whose peer is, must not spend the next second on hundreds of them.
MAX_RENEWALS = 64
INTERVAL_S = 1.0


class RenewalBudget:
    """Limits the renewals of all connections of one process.

    Parameters
    ----------
    clock : twisted reactor
    """

    _budget_by_clock = WeakKeyDictionary()

    def __init__(self, clock):
        self._clock = clock
        self._taken_s = deque()

    @classmethod
    def of(cls, clock):
        """Return the budget of the process that a reactor belongs to.

        Parameters
        ----------
        clock : twisted reactor

        Returns
        -------
        RenewalBudget
        """
        return cls._budget_by_clock.setdefault(clock, RenewalBudget(clock))

    def take(self):
        """Take a renewal, if there is one left.

        Returns
        -------
        bool
        """
        now_s = self._clock.seconds()
        while self._taken_s and now_s - self._taken_s[0] >= INTERVAL_S:
            self._taken_s.popleft()
        if len(self._taken_s) >= MAX_RENEWALS:
            return False
        self._taken_s.append(now_s)
        return True
