"""Count the nodes on which a revision is in force."""

MAX_LISTED_NODES = 100


def in_force(service, revision):
    """Return how many nodes have a table revision and which nodes lack it.

    Parameters
    ----------
    service : ControlService
    revision : int

    Returns
    -------
    dict
        ``nodes`` counts the nodes that are not lost, ``reached`` those of them that have the
        revision; ``missing`` and ``lost`` list up to ``MAX_LISTED_NODES`` others each.
    """
    reached = 0
    missing = []
    lost = []
    heard_by_id = service.volatile_state.heartbeats.heard_by_id
    for node_id, record in service.machine.state.nodes.record_by_id.items():
        if record.gone:
            continue
        if record.lost:
            lost.append(node_id)
            continue
        heard = heard_by_id.get(node_id)
        current = heard is not None and heard.incarnation == record.incarnation
        if current and heard.table_revision >= revision:
            reached += 1
            continue
        missing.append(node_id)
    return {
        "nodes": reached + len(missing),
        "reached": reached,
        "missing": sorted(missing)[:MAX_LISTED_NODES],
        "lost": sorted(lost)[:MAX_LISTED_NODES],
    }
