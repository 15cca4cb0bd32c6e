"""Choose which replicas may be evicted for a model that requests wait for."""

from hemlockdock_control.placement.retention import STARTUP_GRACE_MS
from hemlockdock_core.rows import ReplicaState

STARVATION_MS = 20_000
MIN_RESIDENCY_MS = 30_000
MIN_IDLE_MS = 5_000
MIN_BUSY_RESIDENCY_MS = 120_000


class Eviction:
    """Choose which replicas may be evicted in one planning round.

    Idle replicas are evicted in increasing order of the gain of keeping them. A busy replica is
    evicted only for a model whose requests have waited for ``STARVATION_MS``, and only once it
    has been ready for ``MIN_BUSY_RESIDENCY_MS``; its requests finish first.
    """

    def __init__(self, plan, retention):
        """Create the eviction order of one planning round.

        Parameters
        ----------
        plan : hemlockdock_control.placement.plan.Plan
        retention : Retention
        """
        self._plan = plan
        self._retention = retention
        self._idle_victims_by_node = {}

    def idle_victims(self, node_id):
        """Return the idle replicas that may be evicted from an endpoint, least gain first.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        list of (ReplicaView, float)
            Each with the gain of keeping it loaded, in milliseconds.
        """
        victims = self._idle_victims_by_node.get(node_id)
        if victims is None:
            victims = self._find_idle_victims(node_id)
            self._idle_victims_by_node[node_id] = victims
        unloading_ids = self._plan.unloading_ids
        return [
            (replica, gain) for replica, gain in victims if replica.replica_id not in unloading_ids
        ]

    def all_victims(self, priority):
        """Return a function like ``idle_victims`` that appends busy replicas.

        Parameters
        ----------
        priority : int
            Busy replicas of models with a higher priority are not evicted.

        Returns
        -------
        callable of str to list of (ReplicaView, float)
        """

        def list_victims(node_id):
            return self.idle_victims(node_id) + self._find_busy_victims(node_id, priority)

        return list_victims

    def _find_idle_victims(self, node_id):
        plan = self._plan
        if plan.now_ms - plan.statistics.first_round_ms < STARTUP_GRACE_MS:
            return []
        victims = []
        for replica in plan.replicas_by_node.get(node_id, ()):
            if replica.state is not ReplicaState.READY or replica.in_flight > 0:
                continue
            if replica.model in plan.demand_by_model:
                continue
            if plan.now_ms - replica.ready_at_ms < MIN_RESIDENCY_MS:
                continue
            if plan.now_ms - replica.last_used_ms < MIN_IDLE_MS:
                continue
            victims.append((replica, self._retention.retention_value(plan, replica).gain_ms))
        return sorted(victims, key=lambda item: (item[1], item[0].replica_id))

    def _find_busy_victims(self, node_id, priority):
        plan = self._plan
        victims = []
        for replica in plan.replicas_by_node.get(node_id, ()):
            if replica.state is not ReplicaState.READY or replica.replica_id in plan.unloading_ids:
                continue
            residency_ms = plan.now_ms - max(replica.ready_at_ms, plan.statistics.first_round_ms)
            if residency_ms < MIN_BUSY_RESIDENCY_MS:
                continue
            model = plan.view.model_by_name.get(replica.model)
            if model is None or model.priority > priority:
                continue
            idle_ids = {item.replica_id for item, _ in self.idle_victims(node_id)}
            if replica.replica_id in idle_ids:
                continue
            victims.append((replica, float(residency_ms)))
        return sorted(victims, key=lambda item: (-item[1], item[0].replica_id))
