"""Limit the request rate of each client."""

MAX_CLIENTS = 4_096


class RateLimiter:
    """Keep a token bucket for each client.

    Parameters
    ----------
    rate_per_s : float
    burst : int
    """

    def __init__(self, rate_per_s, burst):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._bucket_by_client = {}

    def allow(self, client, now_s):
        """Take one token from a client's bucket.

        Parameters
        ----------
        client : str
        now_s : float

        Returns
        -------
        bool
            False if the bucket is empty.
        """
        tokens, seen_s = self._bucket_by_client.pop(client, (self._burst, now_s))
        tokens = min(tokens + max(now_s - seen_s, 0.0) * self._rate_per_s, self._burst)
        allowed = tokens >= 1
        self._bucket_by_client[client] = (tokens - 1 if allowed else tokens, now_s)
        if len(self._bucket_by_client) > MAX_CLIENTS:
            # The first key belongs to the client that sent no request for the longest time.
            del self._bucket_by_client[next(iter(self._bucket_by_client))]
        return allowed
