"""Decide whether a stream can continue: only at the software version that began it.

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


def can_continue(origin, model, rows):
    """Return whether some endpoint has a request's model, is loading it, or may have it.

    An endpoint whose engine does not answer its agent may have the model.

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
        if not row.models and row.on_host is None:
            return True
    return False
