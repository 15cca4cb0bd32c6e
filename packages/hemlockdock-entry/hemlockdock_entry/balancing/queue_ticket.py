"""What decides a waiting request's place in its queue."""

from dataclasses import dataclass

# Requests that state more are counted as if they stated this.
MAX_TOKENS = 10_000_000


@dataclass(slots=True, eq=False)
class QueueTicket:
    """Place of one request among those that wait.

    Attributes
    ----------
    urgency : tuple of int
        The lowest is the most urgent.
    flow : str or None
        Name of its customer; None for all requests without one.
    tokens : int
        Tokens that it is expected to use.
    deadline_s : float
    start_tag : int or None
        Virtual time at which it was served; None if it was not.
    """

    urgency: tuple
    flow: str | None
    tokens: int
    deadline_s: float
    start_tag: int | None = None


def stated_tokens(value, quota=None):
    """Return the tokens by which a request counts in its customer's share.

    Parameters
    ----------
    value : bytes
        Numbers of prompt tokens and of output tokens at most, separated by a comma.
    quota : TokenQuota, optional
        Its ``default_tokens`` count for a request that states none.

    Returns
    -------
    int
        At least 1.
    """
    counts = value.split(b",")
    if len(counts) == 2 and all(_is_count(count) for count in counts):
        tokens = sum(int(count) for count in counts)
    else:
        tokens = 1 if quota is None else round(quota.default_tokens)
    return min(max(1, tokens), MAX_TOKENS)


def _is_count(value):
    return value.strip().isdigit() and len(value) <= len(str(MAX_TOKENS))
