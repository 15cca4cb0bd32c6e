"""This entry's own requests at one endpoint, now and lately."""

from collections import deque

# Reports older than this are not used.
KEPT_S = 3.0


class OwnRequests:
    """Count the requests of this entry at one endpoint, and remember the changes of the last time.

    Attributes
    ----------
    in_flight : int
    """

    def __init__(self):
        self.in_flight = 0
        self._changes = deque()

    def add(self, change, now_s):
        """Record that requests were sent or have ended.

        Parameters
        ----------
        change : int
            1 for a request sent, -1 for one that ended.
        now_s : float
        """
        self.in_flight += change
        self._changes.append((now_s, change))
        while self._changes[0][0] <= now_s - KEPT_S:
            self._changes.popleft()

    def at(self, time_s):
        """Return how many requests were in flight at a time, at most ``KEPT_S`` ago.

        Parameters
        ----------
        time_s : float

        Returns
        -------
        int
        """
        count = self.in_flight
        for changed_s, change in reversed(self._changes):
            if changed_s <= time_s:
                break
            count -= change
        return count
