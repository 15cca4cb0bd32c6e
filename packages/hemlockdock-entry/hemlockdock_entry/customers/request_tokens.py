"""Tokens by which a request counts against its customer's quota."""

# Longer numbers are no numbers of tokens.
MAX_DIGITS = 12


def request_tokens(quota, token_counts):
    """Return the tokens of a request.

    Parameters
    ----------
    quota : TokenQuota
    token_counts : bytes
        Number of prompt tokens and maximum number of output tokens, as sent by the client. A
        malformed value counts as if there were none.

    Returns
    -------
    float
    """
    parts = [part.strip() for part in token_counts.split(b",")]
    is_valid = len(parts) == 2 and all(part.isdigit() and len(part) <= MAX_DIGITS for part in parts)
    if not quota.counts_tokens or not is_valid:
        return quota.default_tokens
    return float(sum(int(part) for part in parts))
