"""Compute the capacity available to a model's requests."""

from hemlockdock_core.rows import ReplicaState
from hemlockdock_entry.waiting import Capacity

MS_PER_S = 1_000


class CapacityView:
    """Capacity available to a model's requests, from the routing table and the entry's load.

    Parameters
    ----------
    clock : twisted reactor or Clock
    link : ControlLink
    router : Router
    loads : LoadCounts
    """

    def __init__(self, clock, link, router, loads):
        self._clock = clock
        self._link = link
        self._router = router
        self._loads = loads
        self._loading_since_by_id = {}

    def slots(self, request):
        """Return how many requests for the same model and adapter can run concurrently.

        Parameters
        ----------
        request : Request

        Returns
        -------
        int
        """
        return self._router.slots(self._link.table, request.model, request.adapter)

    def capacity(self, request):
        """Return the capacity available to a request.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Capacity
        """
        model = self._link.table.model_by_name.get(request.model)
        slots = self.slots(request)
        load_left_s = 0.0
        if not slots and model is not None:
            load_left_s = self._load_left_s(model)
        free = max(0, slots - self._loads.in_flight(request.model))
        per_replica = model.requests_per_replica if model is not None else 1
        return Capacity(slots, free, load_left_s, per_replica)

    def table_changed(self):
        """Record when each replica started loading."""
        now = self._clock.seconds()
        loading = {}
        for replica in self._link.table.replica_by_id.values():
            if replica.state == ReplicaState.LOADING:
                since = self._loading_since_by_id.get(replica.replica_id, now)
                loading[replica.replica_id] = since
        self._loading_since_by_id = loading

    def _load_left_s(self, model):
        now = self._clock.seconds()
        load_s = model.load_ms / MS_PER_S
        left_s = load_s
        for replica in self._link.table.replicas_of(model.name):
            since = self._loading_since_by_id.get(replica.replica_id)
            if since is not None:
                left_s = min(left_s, max(0.0, since + load_s - now))
        return left_s
