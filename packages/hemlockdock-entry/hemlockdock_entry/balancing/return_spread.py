"""Spread the returns of refused clients over the time in which they can be served.

Made for some hundred refusals a second: without it all clients that are refused in one shortage are
told the same time, and most of them are refused again.
"""

from collections import deque

# Time over which the rate of service is measured.
RATE_WINDOW_S = 2.0


class ReturnSpread:
    """Times at which refused clients are told to return, one after the other.

    Parameters
    ----------
    random_source : random.Random
    """

    def __init__(self, random_source):
        self._random = random_source
        self._served_s = deque()
        self._next_s = 0.0

    def record_served(self, now_s):
        """Count a request that was sent to an endpoint.

        Parameters
        ----------
        now_s : float
        """
        self._served_s.append(now_s)
        self._remove_old(now_s)

    def book_s(self, earliest_s, latest_s, now_s):
        """Return when the next refused client should return.

        Parameters
        ----------
        earliest_s : float
            Time from which there will be capacity.
        latest_s : float
            Latest time at which the client would return.
        now_s : float

        Returns
        -------
        float
        """
        self._remove_old(now_s)
        interval_s = RATE_WINDOW_S / max(1, len(self._served_s))
        booked_s = max(self._next_s, earliest_s)
        if booked_s + interval_s > latest_s:
            # More were refused than can be served until then; these return evenly before it.
            first_s = min(earliest_s, latest_s)
            return self._random.uniform((first_s + latest_s) / 2, latest_s)
        self._next_s = booked_s + interval_s
        return booked_s + self._random.uniform(0.0, interval_s)

    def _remove_old(self, now_s):
        while self._served_s and self._served_s[0] <= now_s - RATE_WINDOW_S:
            self._served_s.popleft()
