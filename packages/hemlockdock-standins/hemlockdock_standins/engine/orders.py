"""Execute orders at a stand-in engine."""

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from hemlockdock_standins.engine.state import NO_MEMORY, OK, REFUSED

FAILED = 502
MS_PER_S = 1_000.0


class EngineOrders:
    """Execute orders, with simulated durations.

    Parameters
    ----------
    reactor : twisted reactor
    options : EngineOptions
    state : EngineState
    store : StandInWeightStore
    ledger : StandInLedger

    Attributes
    ----------
    fences_in_flight : list of int
        Fences of the orders in progress.
    """

    def __init__(self, reactor, options, state, store, ledger):
        self._reactor = reactor
        self._options = options
        self._state = state
        self._store = store
        self._ledger = ledger
        self._crash_count = 0
        self.fences_in_flight = []

    def crash(self):
        """Discard the orders in progress."""
        self._crash_count += 1
        self.fences_in_flight = []

    @inlineCallbacks
    def execute(self, kind, order):
        """Execute one order.

        Parameters
        ----------
        kind : str
            Last segment of the order's path.
        order : dict

        Returns
        -------
        Deferred of tuple of (int, dict)
            HTTP status and answer.
        """
        if not self._options.refuses_old_fences and self.fences_in_flight:
            self._ledger.overlap_violations += 1
        if not self._state.admit_fence(order["fence"]):
            return REFUSED, {"detail": "old fence", "highest_fence": self._state.highest_fence}
        crash_count = self._crash_count
        self.fences_in_flight.append(order["fence"])
        try:
            answer = yield getattr(self, f"_{kind}")(order)
        finally:
            if crash_count == self._crash_count:
                self.fences_in_flight.remove(order["fence"])
        return answer

    @inlineCallbacks
    def _load(self, order):
        replica = self._state.begin_load(order)
        if replica is None:
            return NO_MEMORY, {"detail": "memory does not suffice"}
        if replica.ready:
            return OK, {"detail": ""}
        if self._options.hang_loads:
            yield Deferred()
        yield self._read_checkpoint(order)
        if self._state.replica_by_id.get(replica.replica_id) is not replica:
            return FAILED, {"detail": "lost while loading"}
        if self._options.fail_loads > 0:
            self._options.fail_loads -= 1
            self._state.unload(replica.replica_id)
            return FAILED, {"detail": "checkpoint unreadable"}
        replica.ready = True
        return OK, {"detail": ""}

    @inlineCallbacks
    def _unload(self, order):
        yield self._sleep(self._options.unload_ms)
        self._state.unload(order["replica_id"])
        return OK, {"detail": ""}

    @inlineCallbacks
    def _load_adapter(self, order):
        if not self._state.begin_adapter(order):
            return NO_MEMORY, {"detail": "no such replica, or memory does not suffice"}
        yield self._store.load_adapter()
        return OK, {"detail": ""}

    def _unload_adapter(self, order):
        replica = self._state.replica_by_id.get(order["replica_id"])
        if replica is not None:
            replica.memory_by_adapter.pop(order["adapter"], None)
        return OK, {"detail": ""}

    def _role(self, order):
        self._state.role = order["role"]
        return OK, {"detail": ""}

    @inlineCallbacks
    def _read_checkpoint(self, order):
        checkpoint = f"{order['model']}/{order['version']}"
        in_memory, on_disk = self._store.cached(self._options.host)
        if checkpoint in in_memory:
            yield self._sleep(self._options.load_memory_ms)
            return
        if checkpoint in on_disk:
            yield self._sleep(self._options.load_disk_ms)
        else:
            yield self._store.load_model(self._options.load_remote_ms)
        on_disk.add(checkpoint)
        in_memory.add(checkpoint)

    def _sleep(self, duration_ms):
        return deferLater(self._reactor, duration_ms / MS_PER_S, lambda: None)
