"""Bounds on what a customer may use beyond its quota, shared by the leader and entries.

In a window of 8 s a customer may use ``OVERUSE_FACTOR`` times (8 s of its rate and its burst), and
``OVERUSE_TOKENS`` more. Beyond the quota itself that is 0.8 s of the rate, 0.1 of the burst and
7,400 tokens. While entries get answers from the leader, it is used for:

- the least burst, beyond the burst of the quota: 0.25 s of the rate or 2,000 tokens
- credit, used in a later window than it was granted in: 0.2 s of the rate and 0.05 of the burst
- a request larger than the burst: 3,000 tokens
- returned tokens that count again, twice 0.1 s of the rate and 1,000 tokens: those that may count
  at the beginning of the window, and those refilled in it (``quota_account`` in control)
- tokens that are claimed before they accrue: 0.1 s of the rate

These add up to 0.75 s of the rate, 0.05 of the burst and 7,000 tokens. A margin of 0.05 s of the
rate, 0.05 of the burst and 400 tokens is left. Not in this sum is what entries use of their own
share while the leader does not answer them but still grants the whole rate to others.
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
# What may reach endpoints in a window, relative to the quota, and in addition to that.
OVERUSE_FACTOR = 1.1
OVERUSE_TOKENS = 7_400.0
# A request waits for its tokens no longer: one that could wait longer would take those of requests
# that can't. A client that retries may claim reserved tokens earlier by this time, so that others
# whose time comes before are not declined.
MAX_WAIT_S = 0.1
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
