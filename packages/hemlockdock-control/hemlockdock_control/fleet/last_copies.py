"""Find the models whose weights only hosts have that are about to be taken away.

The decisions answer loads under which hosts are replaced in turn: the directory lists an engine as
leaving some seconds before its host is gone, and afterwards only the weight store has such a model.
"""


def last_copies_leaving(views):
    """Return the models whose weights only the hosts of leaving engines have.

    Parameters
    ----------
    views : iterable of EngineView
        All engines of a pool, also those that can't be used.

    Returns
    -------
    dict of str to frozenset of str
        Keyed by endpoint id, for engines that leave and have such a model.
    """
    views = list(views)
    staying = set()
    for view in views:
        if not view.is_leaving:
            staying |= view.report.on_host
            staying |= view.resident
    leaving = {}
    for view in views:
        last = view.report.on_host - staying
        if view.is_leaving and last:
            leaving[view.endpoint_id] = last
    return leaving
