"""Decide for how long an endpoint that keeps failing is ejected."""

# More doublings exceed any longest time, and some thousand exceed what a float holds.
MAX_DOUBLINGS = 32


def ejection_s(first_s, longest_s, doublings):
    """Return the duration of an ejection, which doubles each time up to a longest one.

    Parameters
    ----------
    first_s, longest_s : float
    doublings : int

    Returns
    -------
    float
    """
    return min(longest_s, first_s * 2 ** min(doublings, MAX_DOUBLINGS))
