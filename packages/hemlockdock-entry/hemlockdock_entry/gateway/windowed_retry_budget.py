"""Bound sends beyond the first of each request, as a share of what all entries may."""

from collections import deque

BUCKET_COUNT = 10
# Part of the bound that is used; entries don't know of each other's sends.
BUDGET_SHARE = 0.8


class WindowedRetryBudget:
    """Bound sends beyond the first over a sliding window.

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
        self._bucket_s = fleet.retry_window_s / BUCKET_COUNT
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
        while self._requests[0][0] <= bucket - BUCKET_COUNT:
            self._requests.popleft()

    def try_spend(self, now_s, entries):
        """Spend one send; tell whether there was one left.

        Parameters
        ----------
        now_s : float
        entries : int
            Entries that share the slack.

        Returns
        -------
        bool
        """
        if not self.has_available(now_s, entries):
            return False
        self._retry_times_s.append(now_s)
        return True

    def has_available(self, now_s, entries):
        """Tell whether a send is left, without spending it.

        Parameters
        ----------
        now_s : float
        entries : int

        Returns
        -------
        bool
        """
        while self._retry_times_s and self._retry_times_s[0] <= now_s - self._window_s:
            self._retry_times_s.popleft()
        requests = sum(count for _, count in self._requests)
        allowed = self._ratio * requests + self._slack / max(1, entries)
        return len(self._retry_times_s) + 1 <= allowed
