"""How long a request may wait for tokens of its customer's quota."""

from hemlockdock_core.quota_bounds import MAX_WAIT_S


def max_token_wait_s(exchange):
    """Return how long a request may wait: at most half of the time to its target.

    Parameters
    ----------
    exchange : ProxyExchange

    Returns
    -------
    float
    """
    left_s = min(exchange.target_s, exchange.deadline_s) - exchange.now_s()
    return min(MAX_WAIT_S, max(0.0, left_s / 2))
