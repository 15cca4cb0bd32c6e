"""Stand-in for the rate-limited weight store."""

from collections import deque

from twisted.internet.defer import Deferred

from hemlockdock_standins.shared_bandwidth import SharedBandwidth

MS_PER_S = 1_000.0


class StandInWeightStore:
    """Load checkpoints and adapters within the rate limits of the store.

    Parameters
    ----------
    reactor : twisted reactor
    loads_per_s : float, optional
        Maximum rate at which model loads start.
    full_speed : int, optional
        Number of concurrent model loads at full speed; beyond it all slow down in proportion.
    adapters_in_flight : int, optional
        Number of concurrent adapter loads at full speed.
    adapter_ms : float, optional
        Duration of an adapter load at full speed.

    Attributes
    ----------
    slow_factor : float
        Multiplies the duration of loads that start after it is set.
    loads, adapter_loads : int
        Number of loads started.
    most_loads_in_flight : int
    """

    def __init__(
        self, reactor, loads_per_s=5.0, full_speed=4, adapters_in_flight=32, adapter_ms=7.0
    ):
        self._reactor = reactor
        self._interval_s = 1.0 / loads_per_s
        self._model_bandwidth = SharedBandwidth(reactor, full_speed)
        self._adapter_bandwidth = SharedBandwidth(reactor, adapters_in_flight)
        self._adapter_ms = adapter_ms
        self._queue = deque()
        self._next_start_s = 0.0
        self._start_call = None
        self._cache_by_host = {}
        self.slow_factor = 1.0
        self.loads = 0
        self.adapter_loads = 0
        self.most_loads_in_flight = 0

    def close(self):
        """Drop all queued and running loads."""
        if self._start_call is not None:
            self._start_call.cancel()
            self._start_call = None
        self._queue.clear()
        self._model_bandwidth.close()
        self._adapter_bandwidth.close()

    def load_model(self, full_speed_ms):
        """Load a checkpoint from the store.

        Parameters
        ----------
        full_speed_ms : float
            Duration at full speed.

        Returns
        -------
        Deferred
        """
        done = Deferred()
        self._queue.append((full_speed_ms, done))
        self._schedule_next_load()
        return done

    def load_adapter(self):
        """Load an adapter from the store.

        Returns
        -------
        Deferred
        """
        self.adapter_loads += 1
        return self._adapter_bandwidth.start_transfer(
            self._adapter_ms * self.slow_factor / MS_PER_S
        )

    def cached(self, host):
        """Return the checkpoints cached on a host, in memory and on disk; callers update the sets.

        Parameters
        ----------
        host : str

        Returns
        -------
        tuple of (set of str, set of str)
        """
        return self._cache_by_host.setdefault(host, (set(), set()))

    def _schedule_next_load(self):
        if self._start_call is not None or not self._queue:
            return
        wait_s = max(self._next_start_s - self._reactor.seconds(), 0.0)
        if wait_s > 0:
            self._start_call = self._reactor.callLater(wait_s, self._start_next_load)
            return
        self._start_next_load()

    def _start_next_load(self):
        self._start_call = None
        full_speed_ms, done = self._queue.popleft()
        self._next_start_s = self._reactor.seconds() + self._interval_s
        self.loads += 1
        transfer = self._model_bandwidth.start_transfer(full_speed_ms * self.slow_factor / MS_PER_S)
        self.most_loads_in_flight = max(self.most_loads_in_flight, self._model_bandwidth.active)
        transfer.chainDeferred(done)
        self._schedule_next_load()
