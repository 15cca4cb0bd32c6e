"""Validate load decisions against the manifest, the endpoint and its memory."""

from hemlockdock_control.state.nodes import AGENT_ROLE
from hemlockdock_core.errors import ErrorKind, Refusal


def load_refusal(command, manifests, nodes, replicas):
    """Return the reason to refuse a load decision, or None.

    Parameters
    ----------
    command : DecideLoad
    manifests : Manifests
    nodes : Nodes
    replicas : Replicas

    Returns
    -------
    Refusal or None
    """
    version = manifests.version(command.model, command.version)
    if version is None:
        message = f"no version {command.version!r} of model {command.model!r}"
        return Refusal.of(ErrorKind.UNKNOWN_MODEL, message)
    model = manifests.model_by_name[command.model]
    node = nodes.record_by_id.get(command.node_id)
    refusal = _node_refusal(command, model, node)
    if refusal is not None:
        return refusal
    if replicas.count_of(command.model) >= model.most_replicas:
        message = f"model {command.model!r} has its {model.most_replicas} replicas"
        return Refusal.of(ErrorKind.NO_CAPACITY, message)
    if replicas.reserved_mb(command.node_id) + version.memory_mb > node.info.memory_mb:
        message = f"{command.node_id!r} has no {version.memory_mb} MB left"
        return Refusal.of(ErrorKind.NO_CAPACITY, message)
    return None


def _node_refusal(command, model, node):
    if node is None or node.info.role != AGENT_ROLE:
        return Refusal.of(ErrorKind.CONFLICT, f"no endpoint {command.node_id!r}")
    if node.incarnation != command.incarnation or node.gone:
        return Refusal.of(ErrorKind.STALE_REVISION, "decided for an older incarnation")
    if not node.inventoried:
        return Refusal.of(ErrorKind.STALE_REVISION, "its inventory is not known")
    if node.leaving or node.lost:
        return Refusal.of(ErrorKind.DRAINING, f"{command.node_id!r} takes no new work")
    if model.endpoint_groups and node.info.group not in model.endpoint_groups:
        return Refusal.of(ErrorKind.CONFLICT, f"group {node.info.group!r} may not load it")
    return None
