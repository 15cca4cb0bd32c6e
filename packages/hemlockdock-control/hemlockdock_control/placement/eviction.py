"""Choose which replicas may make room for a model that requests wait for."""

from hemlockdock_control.placement.retention import GRACE_MS
from hemlockdock_core.rows import ReplicaState

STARVED_MS = 20_000
SHORTEST_STAY_MS = 30_000
SHORTEST_IDLE_MS = 5_000
SHORTEST_BUSY_STAY_MS = 120_000


class Eviction:
    """Choose which replicas may make room in one round.

    Idle replicas go in the order of what holding them gains. A replica that serves goes only
    for a model that has waited ``STARVED_MS``, after a stay of ``SHORTEST_BUSY_STAY_MS``; its
    requests finish first.
    """

    def __init__(self, plan, retention):
        """Take the round.

        Parameters
        ----------
        plan : hemlockdock_control.placement.round.Round
        retention : Retention
        """
        self._plan = plan
        self._retention = retention
        self._idle_by_node = {}

    def idle_on(self, node_id):
        """Return the idle replicas on an endpoint that may go, least gain first.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        list of (ReplicaView, float)
            With what holding it would gain, in milliseconds.
        """
        known = self._idle_by_node.get(node_id)
        if known is None:
            known = self._find_idle(node_id)
            self._idle_by_node[node_id] = known
        going = self._plan.unloading_ids
        return [(replica, gain) for replica, gain in known if replica.replica_id not in going]

    def any_on(self, priority):
        """Return a function like ``idle_on`` that adds replicas that serve.

        Parameters
        ----------
        priority : int
            Models of a higher one keep their replicas.

        Returns
        -------
        callable of str to list of (ReplicaView, float)
        """

        def victims_on(node_id):
            return self.idle_on(node_id) + self._busy_on(node_id, priority)

        return victims_on

    def _find_idle(self, node_id):
        plan = self._plan
        if plan.now_ms - plan.knowledge.first_round_ms < GRACE_MS:
            return []
        found = []
        for replica in plan.replicas_by_node.get(node_id, ()):
            if replica.state is not ReplicaState.READY or replica.in_flight > 0:
                continue
            if replica.model in plan.demand_by_model:
                continue
            if plan.now_ms - replica.ready_at_ms < SHORTEST_STAY_MS:
                continue
            if plan.now_ms - replica.last_used_ms < SHORTEST_IDLE_MS:
                continue
            found.append((replica, self._retention.verdict(plan, replica).gain_ms))
        return sorted(found, key=lambda item: (item[1], item[0].replica_id))

    def _busy_on(self, node_id, priority):
        plan = self._plan
        found = []
        for replica in plan.replicas_by_node.get(node_id, ()):
            if replica.state is not ReplicaState.READY or replica.replica_id in plan.unloading_ids:
                continue
            stay_ms = plan.now_ms - max(replica.ready_at_ms, plan.knowledge.first_round_ms)
            if stay_ms < SHORTEST_BUSY_STAY_MS:
                continue
            model = plan.view.model_by_name.get(replica.model)
            if model is None or model.priority > priority:
                continue
            idle_ids = {item.replica_id for item, _ in self.idle_on(node_id)}
            if replica.replica_id in idle_ids:
                continue
            found.append((replica, float(stay_ms)))
        return sorted(found, key=lambda item: (-item[1], item[0].replica_id))
