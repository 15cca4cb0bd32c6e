"""Spread the retries of refused clients over the time in which they can be served.

Notes
-----
Intended for some hundred refusals per second: clients that retry at one time are refused again.
"""

from collections import deque

# Time over which the rate of service is measured.
RATE_WINDOW_S = 2.0


class RetryPacer:
    """Assign refused clients retry times, one after the other.

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

    def next_retry_s(self, earliest_s, latest_s, now_s):
        """Return the time at which the next refused client should retry.

        Parameters
        ----------
        earliest_s : float
            Time from which there will be capacity.
        latest_s : float
            Latest time at which the client would retry.
        now_s : float

        Returns
        -------
        float
        """
        self._remove_old(now_s)
        interval_s = RATE_WINDOW_S / max(1, len(self._served_s))
        retry_s = max(self._next_s, earliest_s)
        if retry_s + interval_s > latest_s:
            # More were refused than can be served until then; these retry evenly before it.
            first_s = min(earliest_s, latest_s)
            return self._random.uniform((first_s + latest_s) / 2, latest_s)
        self._next_s = retry_s + interval_s
        return retry_s + self._random.uniform(0.0, interval_s)

    def _remove_old(self, now_s):
        while self._served_s and self._served_s[0] <= now_s - RATE_WINDOW_S:
            self._served_s.popleft()
