"""What decides a waiting request's place in its queue."""

from dataclasses import dataclass

from hemlockdock_entry.customers.request_tokens import stated_tokens

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


def share_tokens(header, quota=None):
    """Return the tokens by which a request counts in its customer's share.

    Parameters
    ----------
    header : bytes
        See ``stated_tokens``.
    quota : TokenQuota, optional
        Its ``default_tokens`` count for a request that states none.

    Returns
    -------
    int
        From 1 to ``MAX_TOKENS``.
    """
    tokens = stated_tokens(header)
    if tokens is None:
        tokens = 1 if quota is None else round(quota.default_tokens)
    return min(max(1, tokens), MAX_TOKENS)
