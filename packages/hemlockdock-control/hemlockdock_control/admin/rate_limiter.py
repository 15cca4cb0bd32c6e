"""Limit how often one client may ask."""

MAX_CLIENTS = 4_096


class RateLimiter:
    """Refill each client's allowance at a steady rate.

    Parameters
    ----------
    rate_per_s : float
    burst : int
    """

    def __init__(self, rate_per_s, burst):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._allowance_by_client = {}

    def allow(self, client, now_s):
        """Take one from a client's allowance.

        Parameters
        ----------
        client : str
        now_s : float

        Returns
        -------
        bool
            False where nothing is left.
        """
        left, seen_s = self._allowance_by_client.pop(client, (self._burst, now_s))
        left = min(left + max(now_s - seen_s, 0.0) * self._rate_per_s, self._burst)
        allowed = left >= 1
        self._allowance_by_client[client] = (left - 1 if allowed else left, now_s)
        if len(self._allowance_by_client) > MAX_CLIENTS:
            # The first key is the client that was not heard for longest.
            del self._allowance_by_client[next(iter(self._allowance_by_client))]
        return allowed
