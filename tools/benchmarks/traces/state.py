"""Define the simulated replicas and hosts of a replay."""

from dataclasses import dataclass, field

from benchmarks.traces.cache import CheckpointCache
from benchmarks.traces.trace import HostSpec
from hemlockdock_control.placement import EndpointView, ReplicaView
from hemlockdock_core.rows import ReplicaState


@dataclass(slots=True)
class Replica:
    """State of one simulated replica. Other fields are as in ``ReplicaView``.

    Attributes
    ----------
    idle_counted_until_ms : int
        Time up to which the idle time is included in the score.
    """

    replica_id: str
    model: str
    node_id: str
    decided_at_ms: int
    memory_mb: int
    idle_counted_until_ms: int
    state: ReplicaState = ReplicaState.LOADING
    ready_at_ms: int = 0
    in_flight: int = 0
    last_used_ms: int = 0
    adapters: set = field(default_factory=set)
    adapters_loading: set = field(default_factory=set)

    def view(self):
        """Return the planner's view of this replica."""
        return ReplicaView(
            replica_id=self.replica_id,
            model=self.model,
            version="v1",
            node_id=self.node_id,
            state=self.state,
            decided_at_ms=self.decided_at_ms,
            ready_at_ms=self.ready_at_ms,
            in_flight=self.in_flight,
            last_used_ms=self.last_used_ms,
            adapters=frozenset(self.adapters),
            adapters_loading=frozenset(self.adapters_loading),
        )


class Host:
    """State of one simulated endpoint and its host's checkpoint caches.

    Attributes
    ----------
    spec : HostSpec
    reserved_mb : int
    gone, lost : bool
        Whether the host is down, and whether control has detected this.
    incarnation : int
    disk, memory : CheckpointCache
    """

    def __init__(self, spec: HostSpec):
        self.spec = spec
        self.reserved_mb = 0
        self.gone = False
        self.lost = False
        self.incarnation = 1
        self.disk = CheckpointCache(spec.disk_cache_mb)
        self.memory = CheckpointCache(spec.memory_cache_mb)

    def view(self):
        """Return the planner's view of this endpoint."""
        return EndpointView(
            node_id=self.spec.node_id,
            incarnation=self.incarnation,
            host=self.spec.node_id,
            failure_domain=self.spec.failure_domain,
            group=self.spec.group,
            memory_mb=self.spec.memory_mb,
            reserved_mb=self.reserved_mb,
            lost=self.lost,
            cached_in_memory=frozenset(self.memory.size_by_name),
            cached_on_disk=frozenset(self.disk.size_by_name),
        )
