"""Sizes that follow from a customer's quota, for the leader and for entries.

Over a window of 8 s, a customer may use 1.1 times (8 s of its rate and its burst), and 7,400 tokens
more. That leaves 0.8 s of its rate, a tenth of its burst and 7,400 tokens above the quota itself.
The least burst takes 0.25 s or 2,000 tokens of it, credit 0.2 s and a twentieth of the burst,
requests larger than the burst 3,000 tokens, tokens that are returned late 0.2 s and 2,100 tokens,
and tokens that are claimed early 0.1 s.
"""

# A customer with a small burst may use as much at once as in this time, so that tokens which come
# while nobody asks for them are not lost.
MIN_BURST_S = 0.25
MIN_BURST_TOKENS = 2_000.0
# Credit of all entries together.
CREDIT_S = 0.2
CREDIT_BURST_FRACTION = 0.05
# Credit that was not used within this time expires.
CREDIT_VALID_S = 1.0
WINDOW_S = 8.0
# A request may exceed the burst by this, and by more only after a longer pause.
MAX_EXCESS_TOKENS = 3_000.0


def usable_burst(quota):
    """Return the tokens that a customer may use at once after a pause.

    Parameters
    ----------
    quota : TokenQuota

    Returns
    -------
    float
    """
    least = MIN_BURST_TOKENS if quota.counts_tokens else 0.0
    return max(quota.burst, MIN_BURST_S * quota.per_s, least)


def most_credit(quota):
    """Return how much credit all entries together may hold.

    Parameters
    ----------
    quota : TokenQuota

    Returns
    -------
    float
    """
    return CREDIT_S * quota.per_s + CREDIT_BURST_FRACTION * quota.burst


def largest_request(quota):
    """Return the tokens of the largest request that can ever be served.

    Parameters
    ----------
    quota : TokenQuota

    Returns
    -------
    float
    """
    return usable_burst(quota) + MAX_EXCESS_TOKENS + WINDOW_S * quota.per_s


def is_limited(customer):
    """Return whether a customer's use is limited.

    Parameters
    ----------
    customer : CustomerRow or None

    Returns
    -------
    bool
    """
    return customer is not None and customer.quota is not None and customer.quota.per_s > 0.0
