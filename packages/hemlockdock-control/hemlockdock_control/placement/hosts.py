"""Choose the endpoint for a load, and what goes to make room for it."""

from dataclasses import dataclass, field

from hemlockdock_control.placement.round import checkpoint_tier
from hemlockdock_control.placement.view import EndpointView, ReplicaView
from hemlockdock_core.rows import ReplicaState


@dataclass(frozen=True, slots=True)
class Choice:
    """Describe where a model could be loaded.

    Attributes
    ----------
    endpoint : EndpointView
    load_ms : int
    victims : list of ReplicaView
        Idle replicas that have to go first.
    must_wait : bool
        Whether unloads under way will make enough room.
    """

    endpoint: EndpointView
    load_ms: int
    victims: list[ReplicaView] = field(default_factory=list)
    must_wait: bool = False


def choose_endpoint(plan, model, version, load_times, may_evict, avoided=frozenset()):
    """Choose the endpoint for one more replica of a model.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    model : ModelView
    version : VersionView
    load_times : LoadTimes
    may_evict : callable of ReplicaView to bool
        Whether an idle replica may go for this load.
    avoided : frozenset of str
        Endpoints where a load of this model failed lately; taken only where no other fits.

    Returns
    -------
    Choice or None
    """
    domains = _domains_in_use(plan, model.name)
    best = None
    best_key = None
    for endpoint in plan.view.endpoint_by_id.values():
        if model.endpoint_groups and endpoint.group not in model.endpoint_groups:
            continue
        if not plan.is_usable(endpoint.node_id) or _holds(plan, model.name, endpoint.node_id):
            continue
        choice = _choice_on(plan, model, version, load_times, may_evict, endpoint)
        if choice is None:
            continue
        key = (
            endpoint.node_id in avoided,
            len(choice.victims),
            domains.get(endpoint.failure_domain, 0),
            choice.load_ms,
            choice.must_wait,
            -plan.free_mb(endpoint.node_id),
            endpoint.node_id,
        )
        if best_key is None or key < best_key:
            best, best_key = choice, key
    return best


def _choice_on(plan, model, version, load_times, may_evict, endpoint):
    tier = checkpoint_tier(endpoint, model.name, version.name)
    load_ms = load_times.expected_ms(tier, version.checkpoint_mb)
    missing_mb = version.memory_mb - plan.free_mb(endpoint.node_id)
    if missing_mb <= 0:
        return Choice(endpoint, load_ms)
    missing_mb -= plan.freed_by_node.get(endpoint.node_id, 0)
    if missing_mb <= 0:
        return Choice(endpoint, load_ms, must_wait=True)
    victims = []
    for replica in _idle_replicas(plan, endpoint.node_id):
        if replica.model == model.name or not may_evict(replica):
            continue
        victims.append(replica)
        missing_mb -= plan.replica_memory_mb(replica)
        if missing_mb <= 0:
            return Choice(endpoint, load_ms, victims, must_wait=True)
    return None


def _idle_replicas(plan, node_id):
    idle = []
    for replica in plan.replicas_by_node.get(node_id, ()):
        if replica.state is not ReplicaState.READY or replica.in_flight > 0:
            continue
        if replica.replica_id in plan.unloading_ids:
            continue
        idle.append(replica)
    return sorted(idle, key=lambda replica: (replica.last_used_ms, replica.replica_id))


def _domains_in_use(plan, model_name):
    count_by_domain = {}
    for replica in plan.replicas_by_model.get(model_name, ()):
        endpoint = plan.view.endpoint_by_id.get(replica.node_id)
        if endpoint is None or replica.state is ReplicaState.UNLOADING:
            continue
        domain = endpoint.failure_domain
        count_by_domain[domain] = count_by_domain.get(domain, 0) + 1
    return count_by_domain


def _holds(plan, model_name, node_id):
    for command in plan.decided_by_model.get(model_name, ()):
        if command.node_id == node_id:
            return True
    replicas = plan.replicas_by_model.get(model_name, ())
    return any(replica.node_id == node_id for replica in replicas)
