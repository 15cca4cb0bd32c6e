"""Choose the endpoint for a load, and what goes to make room for it."""

from dataclasses import dataclass

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import named_tier
from hemlockdock_control.placement.retention import UNLOAD_MS
from hemlockdock_control.placement.view import EndpointView, ModelView, ReplicaView, VersionView
from hemlockdock_core.rows import ReplicaState


@dataclass(frozen=True, slots=True)
class Choice:
    """Describe where a model could be loaded.

    Attributes
    ----------
    endpoint : EndpointView
    wait_ms : int
        Until it is ready.
    victims : tuple of ReplicaView
        Replicas that have to go first.
    lost_ms : float
        What holding the victims would have gained.
    must_wait : bool
        Whether unloads have to end first.
    """

    endpoint: EndpointView
    wait_ms: int
    victims: tuple[ReplicaView, ...] = ()
    lost_ms: float = 0.0
    must_wait: bool = False


@dataclass(frozen=True, slots=True)
class Need:
    """Describe a load that is to be placed.

    Attributes
    ----------
    model : ModelView
    version : VersionView
    deadline_at_ms : int
        0 where nothing waits.
    adapters_mb : int
        Memory of the adapters that are waited for.
    """

    model: ModelView
    version: VersionView
    deadline_at_ms: int = 0
    adapters_mb: int = 0

    @property
    def memory_mb(self):
        """Return the memory that has to be free."""
        return self.version.memory_mb + self.adapters_mb


def choose_endpoint(plan, need, victims_on):
    """Choose the endpoint for one more replica of a model.

    Endpoints where a load of the model failed lately come last; then count whether the
    deadline can be met, how many replicas of the model the failure domain has, and what the
    wait and the evicted replicas cost.

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    need : Need
    victims_on : callable of str to list of (ReplicaView, float)
        Replicas on an endpoint that may go, in the order to evict, with the gain lost.

    Returns
    -------
    Choice or None
    """
    model, version = need.model, need.version
    avoided = plan.knowledge.avoided(model.name, plan.now_ms)
    count_by_domain = _count_by_domain(plan, model.name)
    holders = _holders(plan, model.name)
    later_ms = _uncached_ms(plan, model, version)
    name = f"{model.name}/{version.name}"
    load_times = plan.knowledge.load_times
    load_ms_by_tier = {tier: load_times.expected_ms(tier, version.checkpoint_mb) for tier in Tier}
    best = None
    best_key = None
    for endpoint in plan.view.endpoint_by_id.values():
        if not endpoint.takes_work or endpoint.node_id in holders:
            continue
        if model.endpoint_groups and endpoint.group not in model.endpoint_groups:
            continue
        load_ms = load_ms_by_tier[named_tier(endpoint, name)]
        choice = _choice_on(plan, need, victims_on, endpoint, load_ms)
        if choice is None:
            continue
        uncached_ms = later_ms if endpoint.node_id in plan.knowledge.diskless_ids else 0.0
        key = (
            endpoint.node_id in avoided,
            plan.now_ms + choice.wait_ms > need.deadline_at_ms,
            count_by_domain.get(endpoint.failure_domain, 0),
            plan.prices.cold_start_ms(choice.wait_ms) + choice.lost_ms + uncached_ms,
            len(choice.victims),
            -plan.free_mb(endpoint.node_id),
            endpoint.node_id,
        )
        if best_key is None or key < best_key:
            best, best_key = choice, key
    return best


def _uncached_ms(plan, model, version):
    # What it costs later that the only copy ends up on a host that does not keep it.
    if plan.knowledge.checkpoints.best_tier(model.name, version.name) is not Tier.REMOTE:
        return 0.0
    load_times = plan.knowledge.load_times
    remote_ms = load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
    disk_ms = load_times.expected_ms(Tier.DISK, version.checkpoint_mb)
    return plan.prices.cold_start_ms(remote_ms) - plan.prices.cold_start_ms(disk_ms)


def _choice_on(plan, need, victims_on, endpoint, load_ms):
    node_id = endpoint.node_id
    if need.memory_mb > endpoint.memory_mb:
        return None
    missing_mb = need.memory_mb - plan.free_mb(node_id)
    if missing_mb <= 0:
        return Choice(endpoint, load_ms)
    wait_ms = load_ms + UNLOAD_MS
    missing_mb -= plan.freed_by_node.get(node_id, 0)
    if missing_mb <= 0:
        return Choice(endpoint, wait_ms, must_wait=True)
    victims = []
    lost_ms = 0.0
    for replica, gain_ms in victims_on(node_id):
        if replica.model == need.model.name:
            continue
        victims.append(replica)
        lost_ms += max(gain_ms, 0.0)
        missing_mb -= plan.replica_memory_mb(replica)
        if missing_mb <= 0:
            return Choice(endpoint, wait_ms, tuple(victims), lost_ms, must_wait=True)
    return None


def _count_by_domain(plan, model_name):
    count_by_domain = {}
    node_ids = [command.node_id for command in plan.decided_by_model.get(model_name, ())]
    for replica in plan.replicas_by_model.get(model_name, ()):
        if replica.state is not ReplicaState.UNLOADING:
            node_ids.append(replica.node_id)
    for node_id in node_ids:
        endpoint = plan.view.endpoint_by_id.get(node_id)
        if endpoint is None:
            continue
        domain = endpoint.failure_domain
        count_by_domain[domain] = count_by_domain.get(domain, 0) + 1
    return count_by_domain


def _holders(plan, model_name):
    holders = {command.node_id for command in plan.decided_by_model.get(model_name, ())}
    holders.update(replica.node_id for replica in plan.replicas_by_model.get(model_name, ()))
    return holders
