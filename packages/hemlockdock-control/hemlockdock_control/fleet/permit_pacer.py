"""Book permits for an endpoint at a steady rate."""

from hemlockdock_core.request_limit import MAX_RETURN_S

# Permits that nobody has asked for are kept for this time, ...
KEPT_S = 0.1
# ... and at least these, as a slow pacer would otherwise lose some between two wishes.
MIN_KEPT = 2.0
# Rounding errors must not delay a permit that is due.
ROUNDING = 1e-6


class PermitPacer:
    """Books permits, also ahead of time, at a rate that may change. It begins without any.

    Parameters
    ----------
    now_s : float
    """

    def __init__(self, now_s):
        self._counted_s = now_s
        # Negative if permits were booked ahead.
        self._permits = 0.0
        self._return_s = now_s

    def book(self, longest_wait_s, per_s, now_s):
        """Book the next permit.

        Parameters
        ----------
        longest_wait_s : float
        per_s : float
            Permits per second.
        now_s : float

        Returns
        -------
        float or None
            Time from which the permit is valid; None if that is too late.
        """
        self._count(per_s, now_s)
        wait_s = self._wait_s(per_s)
        if wait_s > longest_wait_s:
            return None
        self._permits -= 1.0
        return now_s + wait_s

    def next_s(self, per_s, now_s):
        """Return when the next permit would be valid.

        Parameters
        ----------
        per_s, now_s : float

        Returns
        -------
        float
        """
        self._count(per_s, now_s)
        return now_s + self._wait_s(per_s)

    def return_s(self, per_s, now_s):
        """Return when a client may return for whom no permit was booked: one after the other.

        Parameters
        ----------
        per_s, now_s : float

        Returns
        -------
        float
        """
        next_s = self.next_s(per_s, now_s)
        latest_s = max(next_s, now_s + MAX_RETURN_S)
        self._return_s = min(latest_s, max(next_s, self._return_s + 1.0 / per_s))
        return self._return_s

    def give_back(self, permits):
        """Add permits that were not used.

        Parameters
        ----------
        permits : int
        """
        self._permits += permits

    def _count(self, per_s, now_s):
        most = max(MIN_KEPT, per_s * KEPT_S)
        self._permits = min(most, self._permits + per_s * max(0.0, now_s - self._counted_s))
        self._counted_s = max(self._counted_s, now_s)

    def _wait_s(self, per_s):
        return max(0.0, 1.0 - ROUNDING - self._permits) / per_s
