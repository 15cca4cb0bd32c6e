"""This entry's own requests at one endpoint, now and in the last seconds."""

from collections import deque

from hemlockdock_entry.balancing.reported_load import MAX_REPORT_AGE_S


class OwnRequests:
    """Count the requests of this entry at one endpoint, and keep the changes of the last seconds.

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
        while self._changes[0][0] <= now_s - MAX_REPORT_AGE_S:
            self._changes.popleft()

    def at(self, time_s):
        """Return how many requests were in flight at a time, at most ``MAX_REPORT_AGE_S`` ago.

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
