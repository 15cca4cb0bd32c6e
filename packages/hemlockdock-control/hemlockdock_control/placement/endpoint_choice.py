"""Choose the endpoint for a load and the replicas to evict for it."""

from dataclasses import dataclass

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.checkpoints import tier_by_name
from hemlockdock_control.placement.retention import UNLOAD_MS
from hemlockdock_control.placement.view import EndpointView, ModelView, ReplicaView, VersionView
from hemlockdock_core.rows import ReplicaState


@dataclass(frozen=True, slots=True)
class EndpointChoice:
    """Describe one endpoint on which a model could be loaded.

    Attributes
    ----------
    endpoint : EndpointView
    wait_ms : int
        Expected time until the replica is ready.
    victims : tuple of ReplicaView
        Replicas to evict first.
    lost_gain_ms : float
        Expected gain of keeping the victims loaded.
    waits_for_unloads : bool
        Whether the load can start only after unloads have completed.
    """

    endpoint: EndpointView
    wait_ms: int
    victims: tuple[ReplicaView, ...] = ()
    lost_gain_ms: float = 0.0
    waits_for_unloads: bool = False


@dataclass(frozen=True, slots=True)
class LoadRequirements:
    """Describe a load to be placed.

    Attributes
    ----------
    model : ModelView
    version : VersionView
    deadline_at_ms : int
        Earliest deadline of the waiting requests; 0 if no request waits.
    adapters_mb : int
        Memory of the adapters that waiting requests need.
    """

    model: ModelView
    version: VersionView
    deadline_at_ms: int = 0
    adapters_mb: int = 0

    @property
    def memory_mb(self):
        """Return the memory that the load needs."""
        return self.version.memory_mb + self.adapters_mb


def choose_endpoint(plan, requirements, list_victims):
    """Choose the endpoint for one more replica of a model.

    Endpoints are compared by, in this order: whether a load of the model failed there
    recently, whether the deadline can be met, how many replicas of the model the failure
    domain has, and the cost of the wait and of the evicted replicas.

    Parameters
    ----------
    plan : hemlockdock_control.placement.plan.Plan
    requirements : LoadRequirements
    list_victims : callable of str to list of (ReplicaView, float)
        Replicas that may be evicted from an endpoint, in eviction order, with the gain lost.

    Returns
    -------
    EndpointChoice or None
    """
    model, version = requirements.model, requirements.version
    failed_ids = plan.statistics.recently_failed_node_ids(model.name, plan.now_ms)
    count_by_domain = _count_by_domain(plan, model.name)
    occupied_ids = _node_ids_with_model(plan, model.name)
    lost_cache_cost_ms = _lost_cache_cost_ms(plan, model, version)
    name = f"{model.name}/{version.name}"
    load_times = plan.statistics.load_times
    load_ms_by_tier = {tier: load_times.expected_ms(tier, version.checkpoint_mb) for tier in Tier}
    best = None
    best_key = None
    for endpoint in plan.view.endpoint_by_id.values():
        if not endpoint.accepts_work or endpoint.node_id in occupied_ids:
            continue
        if model.endpoint_groups and endpoint.group not in model.endpoint_groups:
            continue
        load_ms = load_ms_by_tier[tier_by_name(endpoint, name)]
        choice = _choice_on_endpoint(plan, requirements, list_victims, endpoint, load_ms)
        if choice is None:
            continue
        cache_cost_ms = (
            lost_cache_cost_ms if endpoint.node_id in plan.statistics.diskless_node_ids else 0.0
        )
        key = (
            endpoint.node_id in failed_ids,
            plan.now_ms + choice.wait_ms > requirements.deadline_at_ms,
            count_by_domain.get(endpoint.failure_domain, 0),
            plan.cost_model.cold_start_cost_ms(choice.wait_ms)
            + choice.lost_gain_ms
            + cache_cost_ms,
            len(choice.victims),
            -plan.free_mb(endpoint.node_id),
            endpoint.node_id,
        )
        if best_key is None or key < best_key:
            best, best_key = choice, key
    return best


def _lost_cache_cost_ms(plan, model, version):
    # Extra cost of the next cold start if a checkpoint that no usable host has cached is loaded
    # on a host that does not keep it on disk.
    if plan.statistics.checkpoints.best_tier(model.name, version.name) is not Tier.REMOTE:
        return 0.0
    load_times = plan.statistics.load_times
    remote_ms = load_times.expected_ms(Tier.REMOTE, version.checkpoint_mb)
    disk_ms = load_times.expected_ms(Tier.DISK, version.checkpoint_mb)
    return plan.cost_model.cold_start_cost_ms(remote_ms) - plan.cost_model.cold_start_cost_ms(
        disk_ms
    )


def _choice_on_endpoint(plan, requirements, list_victims, endpoint, load_ms):
    node_id = endpoint.node_id
    if requirements.memory_mb > endpoint.memory_mb:
        return None
    missing_mb = requirements.memory_mb - plan.free_mb(node_id)
    if missing_mb <= 0:
        return EndpointChoice(endpoint, load_ms)
    wait_ms = load_ms + UNLOAD_MS
    missing_mb -= plan.pending_free_mb_by_node.get(node_id, 0)
    if missing_mb <= 0:
        return EndpointChoice(endpoint, wait_ms, waits_for_unloads=True)
    victims = []
    lost_gain_ms = 0.0
    for replica, gain_ms in list_victims(node_id):
        if replica.model == requirements.model.name:
            continue
        victims.append(replica)
        lost_gain_ms += max(gain_ms, 0.0)
        missing_mb -= plan.replica_memory_mb(replica)
        if missing_mb <= 0:
            return EndpointChoice(
                endpoint, wait_ms, tuple(victims), lost_gain_ms, waits_for_unloads=True
            )
    return None


def _count_by_domain(plan, model_name):
    count_by_domain = {}
    node_ids = [command.node_id for command in plan.load_commands_by_model.get(model_name, ())]
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


def _node_ids_with_model(plan, model_name):
    occupied_ids = {command.node_id for command in plan.load_commands_by_model.get(model_name, ())}
    occupied_ids.update(replica.node_id for replica in plan.replicas_by_model.get(model_name, ()))
    return occupied_ids
