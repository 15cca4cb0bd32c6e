"""HTTP statuses that clients may take as a promise that a request has not run."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
BAD_GATEWAY = 502


def status_without_promise(status):
    """Return a status, or 502 for one that would promise that the request has not run.

    Parameters
    ----------
    status : int

    Returns
    -------
    int
    """
    return BAD_GATEWAY if status in NOT_RUN_STATUSES else status
