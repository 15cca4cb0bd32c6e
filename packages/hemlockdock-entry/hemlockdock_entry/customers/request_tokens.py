"""Tokens that a request states, and by which it counts against its customer's quota."""

# Longer numbers are malformed, so that none takes long to parse.
MAX_DIGITS = 12


def stated_tokens(header):
    """Return the sum of the tokens that a client states for its request.

    Parameters
    ----------
    header : bytes
        Number of prompt tokens and maximum number of output tokens, separated by a comma.

    Returns
    -------
    int or None
        None if the header is absent or malformed.
    """
    parts = [part.strip() for part in header.split(b",")]
    if len(parts) != 2 or not all(_is_count(part) for part in parts):
        return None
    return sum(int(part) for part in parts)


def request_tokens(quota, header):
    """Return the tokens by which a request counts against a quota.

    Parameters
    ----------
    quota : TokenQuota
    header : bytes
        See ``stated_tokens``.

    Returns
    -------
    float
    """
    tokens = stated_tokens(header) if quota.counts_tokens else None
    return quota.default_tokens if tokens is None else float(tokens)


def _is_count(part):
    return part.isdigit() and len(part) <= MAX_DIGITS
