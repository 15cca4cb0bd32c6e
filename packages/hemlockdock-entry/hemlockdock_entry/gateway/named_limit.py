"""Read from a response how many requests a second its endpoint takes."""

from math import isfinite

from hemlockdock_core.request_limit import MAX_LIMIT_PER_S

SEPARATOR = b","


class MalformedLimitError(Exception):
    """A response names a limit that is no number of requests per second."""


def named_limit_per_s(head, names):
    """Return the limit that a response names, or None if it names none.

    Parameters
    ----------
    head : ResponseHead
    names : HeaderNames

    Returns
    -------
    float or None
        In requests per second. The lowest one if the response names several. None also if it is
        more than any endpoint gets.

    Raises
    ------
    MalformedLimitError
        If a value is negative, infinite or no number.
    """
    limits_per_s = []
    for value in head.values(names.request_limit):
        for item in value.split(SEPARATOR):
            limits_per_s.append(_parse(item))
    limit_per_s = min(limits_per_s, default=None)
    if limit_per_s is not None and limit_per_s > MAX_LIMIT_PER_S:
        return None
    return limit_per_s


def _parse(item):
    try:
        limit_per_s = float(item)
    except ValueError as error:
        raise MalformedLimitError(f"no number of requests per second: {item!r}") from error
    if not isfinite(limit_per_s) or limit_per_s < 0.0:
        raise MalformedLimitError(f"not a possible number of requests per second: {item!r}")
    return limit_per_s
