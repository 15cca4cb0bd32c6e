"""Stand in for the rate-limited weight store."""

from collections import deque

from twisted.internet.defer import Deferred

from hemlockdock_standins.shared_rate import SharedRate

MS_PER_S = 1_000.0


class StandInWeightStore:
    """Hand out checkpoints and adapters under the store's limits.

    Parameters
    ----------
    reactor : twisted reactor
    loads_per_s : float, optional
        Model loads that may start a second.
    full_speed : int, optional
        Model loads at full speed at once; beyond that all get proportionally slower.
    adapters_in_flight : int, optional
    adapter_ms : float, optional

    Attributes
    ----------
    slow_factor : float
        Multiplies the time of loads that start from then on.
    loads, adapter_loads : int
        Started so far.
    most_loads_in_flight : int
    """

    def __init__(
        self, reactor, loads_per_s=5.0, full_speed=4, adapters_in_flight=32, adapter_ms=7.0
    ):
        self._reactor = reactor
        self._interval_s = 1.0 / loads_per_s
        self._models = SharedRate(reactor, full_speed)
        self._adapters = SharedRate(reactor, adapters_in_flight)
        self._adapter_ms = adapter_ms
        self._waiting = deque()
        self._next_start_s = 0.0
        self._start_call = None
        self._cached_by_host = {}
        self.slow_factor = 1.0
        self.loads = 0
        self.adapter_loads = 0
        self.most_loads_in_flight = 0

    def close(self):
        """Drop all that waits or runs."""
        if self._start_call is not None:
            self._start_call.cancel()
            self._start_call = None
        self._waiting.clear()
        self._models.close()
        self._adapters.close()

    def load_model(self, full_speed_ms):
        """Read a checkpoint from the store.

        Parameters
        ----------
        full_speed_ms : float

        Returns
        -------
        Deferred
        """
        done = Deferred()
        self._waiting.append((full_speed_ms, done))
        self._start_waiting()
        return done

    def load_adapter(self):
        """Read an adapter from the store.

        Returns
        -------
        Deferred
        """
        self.adapter_loads += 1
        return self._adapters.work(self._adapter_ms * self.slow_factor / MS_PER_S)

    def cached(self, host):
        """Return a host's checkpoints in memory and on disk.

        Parameters
        ----------
        host : str

        Returns
        -------
        tuple of (set of str, set of str)
        """
        return self._cached_by_host.setdefault(host, (set(), set()))

    def _start_waiting(self):
        if self._start_call is not None or not self._waiting:
            return
        wait_s = max(self._next_start_s - self._reactor.seconds(), 0.0)
        if wait_s > 0:
            self._start_call = self._reactor.callLater(wait_s, self._start_next)
            return
        self._start_next()

    def _start_next(self):
        self._start_call = None
        full_speed_ms, done = self._waiting.popleft()
        self._next_start_s = self._reactor.seconds() + self._interval_s
        self.loads += 1
        work = self._models.work(full_speed_ms * self.slow_factor / MS_PER_S)
        self.most_loads_in_flight = max(self.most_loads_in_flight, self._models.active)
        work.chainDeferred(done)
        self._start_waiting()
