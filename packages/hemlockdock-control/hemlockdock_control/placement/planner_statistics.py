"""Hold what the planner has learnt; a new leader starts with no data."""

from dataclasses import dataclass

from hemlockdock_control.loading import LoadTimeEstimator
from hemlockdock_control.placement.arrivals import ArrivalPredictor
from hemlockdock_control.placement.checkpoints import CheckpointIndex
from hemlockdock_core.rows import ReplicaState

FAILURE_BACKOFF_MS = 60_000
INVENTORY_DELAY_MS = 3_000


@dataclass(frozen=True, slots=True)
class LoadStart:
    """Identify one start of a load.

    Attributes
    ----------
    at_ms : int
    model : str
    node_id : str
    """

    at_ms: int
    model: str
    node_id: str


class PlannerStatistics:
    """Hold what the planner has learnt from loads, arrivals and inventories.

    Attributes
    ----------
    load_times : LoadTimeEstimator
    arrivals : ArrivalPredictor
    checkpoints : CheckpointIndex
    first_round_ms : int or None
        Time of the first planning round.
    prefetched_at_ms : dict of str to int
        When a checkpoint was last loaded only to cache it on disk, by model.
    diskless_node_ids : set of str
        Endpoints whose hosts did not cache the last checkpoint loaded there on disk.
    store_wait_ms : int
        Expected wait for a load slot of the weight store.
    """

    def __init__(self):
        self.load_times = LoadTimeEstimator()
        self.arrivals = ArrivalPredictor()
        self.checkpoints = CheckpointIndex()
        self.first_round_ms = None
        self.prefetched_at_ms = {}
        self.store_wait_ms = 0
        self.diskless_node_ids = set()
        self._failed_at_ms = {}
        self._starts = []

    def record_start(self, start):
        """Record a load start, so that a load that fails at once still counts against the rate.

        Parameters
        ----------
        start : LoadStart
        """
        self._starts.append(start)

    def recent_starts(self, oldest_ms):
        """Return the starts after a time and discard older ones.

        Parameters
        ----------
        oldest_ms : int

        Returns
        -------
        set of LoadStart
        """
        self._starts = [start for start in self._starts if start.at_ms > oldest_ms]
        return set(self._starts)

    def update_diskless(self, view, now_ms):
        """Update which hosts do not cache loaded checkpoints on disk.

        Parameters
        ----------
        view : PlannerView
        now_ms : int
        """
        for replica in view.replica_by_id.values():
            if replica.state is not ReplicaState.READY:
                continue
            if now_ms - replica.ready_at_ms < INVENTORY_DELAY_MS:
                continue
            endpoint = view.endpoint_by_id.get(replica.node_id)
            if endpoint is None:
                continue
            if f"{replica.model}/{replica.version}" in endpoint.cached_on_disk:
                self.diskless_node_ids.discard(replica.node_id)
            elif not endpoint.cached_on_disk:
                self.diskless_node_ids.add(replica.node_id)

    def record_failure(self, model, node_id, at_ms):
        """Record a failed load.

        Parameters
        ----------
        model : str
        node_id : str
        at_ms : int
        """
        oldest_ms = at_ms - FAILURE_BACKOFF_MS
        recent = {key: ms for key, ms in self._failed_at_ms.items() if ms > oldest_ms}
        recent[(model, node_id)] = at_ms
        self._failed_at_ms = recent

    def is_prefetch(self, replica):
        """Return whether a replica was loaded only to cache its checkpoint on disk.

        Parameters
        ----------
        replica : ReplicaView

        Returns
        -------
        bool
        """
        return self.prefetched_at_ms.get(replica.model) == replica.decided_at_ms

    def recently_failed_node_ids(self, model, now_ms):
        """Return the endpoints where a load of a model failed recently.

        Parameters
        ----------
        model : str
        now_ms : int

        Returns
        -------
        frozenset of str
        """
        failed_ids = set()
        for (name, node_id), at_ms in self._failed_at_ms.items():
            if name == model and now_ms - at_ms < FAILURE_BACKOFF_MS:
                failed_ids.add(node_id)
        return frozenset(failed_ids)
