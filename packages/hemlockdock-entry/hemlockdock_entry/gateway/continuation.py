"""Decide whether a stream can go on: only at the software version that began it.

What endpoints of two versions write does not fit together, and no endpoint checks it.
"""


def may_run_at(origin, row):
    """Return whether an endpoint has the software version that a request is bound to.

    Parameters
    ----------
    origin : StreamOrigin or None
        None if the request is not bound to a version.
    row : EndpointRow

    Returns
    -------
    bool
    """
    if origin is None:
        return True
    return bool(origin.software_version) and row.software_version == origin.software_version


def can_go_on(origin, model, rows):
    """Return whether some endpoint may run a request now or when a load in progress ends.

    Parameters
    ----------
    origin : StreamOrigin or None
    model : str
        Empty if the request names none.
    rows : iterable of EndpointRow
        Endpoints of the request's pool.

    Returns
    -------
    bool
        True if the request is not bound to a version.
    """
    if origin is None:
        return True
    for row in rows:
        if row.leaving or not may_run_at(origin, row):
            continue
        if not model or row.has_model(model):
            return True
        if any(arriving.name == model for arriving in row.arriving):
            return True
    return False
