"""Hold what the planner learnt; a new leader starts with nothing."""

from hemlockdock_control.loading import LoadTimes
from hemlockdock_control.placement.arrivals import Arrivals
from hemlockdock_control.placement.checkpoints import CheckpointIndex

AVOID_AFTER_FAILURE_MS = 60_000


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
        self._failed_at_ms = {}

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
