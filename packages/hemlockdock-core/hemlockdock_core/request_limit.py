"""The requests per second that an endpoint takes."""

# An endpoint that names no more than this gets a request now and then, whose response tells whether
# the limit still holds.
MIN_LIMIT_PER_S = 0.1
# An endpoint that takes more than this is not limited: none gets as many.
MAX_LIMIT_PER_S = 1_000.0
# Clients that were refused are asked to return within this time, or with the next permit.
MAX_RETURN_S = 5.0
# Permits that were booked under a higher limit lapse if it falls below this fraction.
MUCH_LOWER = 0.8


def effective_per_s(per_s):
    """Return the requests per second that are sent to an endpoint with a limit.

    Parameters
    ----------
    per_s : float
        The limit that the endpoint names.

    Returns
    -------
    float
    """
    return max(MIN_LIMIT_PER_S, per_s)


def is_much_lower(before_per_s, after_per_s):
    """Return whether a limit has fallen so far that permits booked under it are too many.

    Parameters
    ----------
    before_per_s, after_per_s : float or None
        None if there is no limit.

    Returns
    -------
    bool
    """
    if before_per_s is None or after_per_s is None:
        return False
    return effective_per_s(after_per_s) < MUCH_LOWER * effective_per_s(before_per_s)
