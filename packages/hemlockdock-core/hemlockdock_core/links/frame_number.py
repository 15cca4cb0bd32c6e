"""Numbers of frames: the sender's session, a random number, followed by a count of its frames."""

COUNT_BITS = 40
SESSION_BITS = 23
# Number in the frames of a software version that does not number them.
NOT_NUMBERED = 0


def first_number(random_source):
    """Return the number before the first frame of a new session.

    Parameters
    ----------
    random_source : random.Random

    Returns
    -------
    int
    """
    return random_source.randrange(1, 2**SESSION_BITS) << COUNT_BITS


def session_of(number):
    """Return the session with which a frame's number begins.

    Parameters
    ----------
    number : int

    Returns
    -------
    int
    """
    return number >> COUNT_BITS
