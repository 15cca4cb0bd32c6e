"""Limit retries and hedges to a fraction of first attempts."""


class RetryBudget:
    """Token bucket that first attempts fill and that retries and hedges draw from.

    Parameters
    ----------
    fraction : float
        Tokens added per first attempt.
    burst : float, optional
        Capacity of the bucket.
    """

    BURST = 10.0

    def __init__(self, fraction, burst=BURST):
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst if fraction else 0.0

    def deposit(self):
        """Add the tokens of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def take(self):
        """Take one token and return whether one was available.

        Returns
        -------
        bool
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
