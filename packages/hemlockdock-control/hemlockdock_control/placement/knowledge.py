"""Hold what the planner learnt; a new leader starts with nothing."""

from dataclasses import dataclass

from hemlockdock_control.loading import LoadTimes
from hemlockdock_control.placement.arrivals import Arrivals
from hemlockdock_control.placement.checkpoints import CheckpointIndex
from hemlockdock_core.rows import ReplicaState

AVOID_AFTER_FAILURE_MS = 60_000
INVENTORY_DELAY_MS = 3_000


@dataclass(frozen=True, slots=True)
class Start:
    """Name one start of a load.

    Attributes
    ----------
    at_ms : int
    model : str
    node_id : str
    """

    at_ms: int
    model: str
    node_id: str


class Knowledge:
    """Hold what the planner learnt.

    Attributes
    ----------
    load_times : LoadTimes
    arrivals : Arrivals
    checkpoints : CheckpointIndex
    first_round_ms : int or None
        When this planner first decided.
    primed_at_ms : dict of str to int
        When a checkpoint was last loaded for the sake of a disk copy, by model.
    diskless_ids : set of str
        Endpoints whose hosts did not keep the last checkpoint loaded there on a disk.
    store_wait_ms : int
        Expected wait for one of the weight store's slots.
    """

    def __init__(self):
        self.load_times = LoadTimes()
        self.arrivals = Arrivals()
        self.checkpoints = CheckpointIndex()
        self.first_round_ms = None
        self.primed_at_ms = {}
        self.store_wait_ms = 0
        self.diskless_ids = set()
        self._failed_at_ms = {}
        self._starts = []

    def add_start(self, start):
        """Remember a load from the store, also for when it fails at once.

        Parameters
        ----------
        start : Start
        """
        self._starts.append(start)

    def recent_starts(self, oldest_ms):
        """Return this planner's starts after a time, and forget the others.

        Parameters
        ----------
        oldest_ms : int

        Returns
        -------
        set of Start
        """
        self._starts = [start for start in self._starts if start.at_ms > oldest_ms]
        return set(self._starts)

    def learn_disks(self, view, now_ms):
        """Learn which hosts keep what is loaded on them on a disk.

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
                self.diskless_ids.discard(replica.node_id)
            elif not endpoint.cached_on_disk:
                self.diskless_ids.add(replica.node_id)

    def add_failure(self, model, node_id, at_ms):
        """Remember that a load failed.

        Parameters
        ----------
        model : str
        node_id : str
        at_ms : int
        """
        oldest_ms = at_ms - AVOID_AFTER_FAILURE_MS
        recent = {key: ms for key, ms in self._failed_at_ms.items() if ms > oldest_ms}
        recent[(model, node_id)] = at_ms
        self._failed_at_ms = recent

    def is_primed(self, replica):
        """Tell whether a replica was loaded only for the sake of a disk copy.

        Parameters
        ----------
        replica : ReplicaView

        Returns
        -------
        bool
        """
        return self.primed_at_ms.get(replica.model) == replica.decided_at_ms

    def avoided(self, model, now_ms):
        """Return the endpoints where a load of a model failed lately.

        Parameters
        ----------
        model : str
        now_ms : int

        Returns
        -------
        frozenset of str
        """
        avoided = set()
        for (name, node_id), at_ms in self._failed_at_ms.items():
            if name == model and now_ms - at_ms < AVOID_AFTER_FAILURE_MS:
                avoided.add(node_id)
        return frozenset(avoided)
