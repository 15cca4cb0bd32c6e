"""Bound retries and hedges to a fraction of first tries."""


class RetryBudget:
    """Hold tokens that first tries earn and further tries spend.

    Parameters
    ----------
    fraction : float
        Tokens earned by one first try.
    burst : float, optional
        Most tokens held.
    """

    BURST = 10.0

    def __init__(self, fraction, burst=BURST):
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst if fraction else 0.0

    def deposit(self):
        """Earn for one first try."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def take(self):
        """Spend one token; tell whether there was one.

        Returns
        -------
        bool
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
