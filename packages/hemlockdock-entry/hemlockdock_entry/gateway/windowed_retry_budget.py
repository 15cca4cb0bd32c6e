"""Limit retries to this entry's share of the retry budget of all entries."""

from collections import deque

BUCKETS = 10
# Fraction of the budget that is used, because entries don't know of each other's retries.
BUDGET_SHARE = 0.8


class WindowedRetryBudget:
    """Limit retries in a sliding window, in proportion to requests plus a fixed slack.

    Parameters
    ----------
    fleet : FleetSection
        With ``retry_ratio``, ``retry_slack`` and ``retry_window_s``.
    """

    def __init__(self, fleet):
        self._ratio = fleet.retry_ratio * BUDGET_SHARE
        self._slack = fleet.retry_slack * BUDGET_SHARE
        self._window_s = fleet.retry_window_s
        self._retry_times_s = deque()
        self._bucket_s = fleet.retry_window_s / BUCKETS
        self._requests = deque()

    def record_request(self, now_s):
        """Count a request.

        Parameters
        ----------
        now_s : float
        """
        bucket = int(now_s / self._bucket_s)
        if self._requests and self._requests[-1][0] == bucket:
            self._requests[-1][1] += 1
        else:
            self._requests.append([bucket, 1])
        while self._requests[0][0] <= bucket - BUCKETS:
            self._requests.popleft()

    def try_spend(self, now_s, share_divisor):
        """Spend one retry if available, and return whether it was.

        Parameters
        ----------
        now_s : float
        share_divisor : float
            The number by which to divide the slack, see ``Gateway.share_divisor``.

        Returns
        -------
        bool
        """
        if not self.has_available(now_s, share_divisor):
            return False
        self._retry_times_s.append(now_s)
        return True

    def has_available(self, now_s, share_divisor):
        """Return whether a retry is available, without spending it.

        Parameters
        ----------
        now_s : float
        share_divisor : float

        Returns
        -------
        bool
        """
        while self._retry_times_s and self._retry_times_s[0] <= now_s - self._window_s:
            self._retry_times_s.popleft()
        requests = sum(count for _, count in self._requests)
        allowed = self._ratio * requests + self._slack / max(1, share_divisor)
        return len(self._retry_times_s) + 1 <= allowed
