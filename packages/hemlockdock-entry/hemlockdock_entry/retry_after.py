"""Retry-After: read it in responses of endpoints, and how far clients honour it."""

from math import isfinite

SERVICE_UNAVAILABLE = 503
# A client delays the retry of a refused request by at most this fraction of its time left.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# An endpoint that asks for a longer pause is asked again.
MAX_PAUSE_S = 600.0


def requested_pause_s(status, retry_after):
    """Return for how long an endpoint asks to get no requests.

    Parameters
    ----------
    status : int
    retry_after : bytes or str
        Value of the response's header; empty if it has none.

    Returns
    -------
    float
        0 if it asks for no pause, or if the value is no number of seconds.
    """
    if status != SERVICE_UNAVAILABLE:
        return 0.0
    try:
        pause_s = float(retry_after)
    except ValueError:
        return 0.0
    if not isfinite(pause_s) or pause_s <= 0:
        return 0.0
    return min(pause_s, MAX_PAUSE_S)
