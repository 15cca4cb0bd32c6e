"""Share a fixed amount of throughput among transfers."""

from twisted.internet.defer import Deferred

LEAST_WORK_S = 1e-9


class SharedRate:
    """Run transfers side by side; beyond ``full_speed`` of them all get proportionally slower.

    Parameters
    ----------
    reactor : twisted reactor
    full_speed : int
    """

    def __init__(self, reactor, full_speed):
        self._reactor = reactor
        self._full_speed = full_speed
        self._left_s_by_done = {}
        self._updated_s = 0.0
        self._call = None

    @property
    def active(self):
        """Return how many transfers run."""
        return len(self._left_s_by_done)

    def work(self, full_speed_s):
        """Start a transfer.

        Parameters
        ----------
        full_speed_s : float
            Time it takes at full speed.

        Returns
        -------
        Deferred
        """
        self._advance()
        done = Deferred()
        self._left_s_by_done[done] = full_speed_s
        self._schedule()
        return done

    def close(self):
        """Drop all transfers."""
        self._left_s_by_done.clear()
        self._schedule()

    def _rate(self):
        return min(1.0, self._full_speed / max(self.active, 1))

    def _advance(self):
        now_s = self._reactor.seconds()
        progress_s = (now_s - self._updated_s) * self._rate()
        self._updated_s = now_s
        for done in self._left_s_by_done:
            self._left_s_by_done[done] -= progress_s

    def _schedule(self):
        if self._call is not None:
            self._call.cancel()
            self._call = None
        if not self._left_s_by_done:
            return
        least_s = max(min(self._left_s_by_done.values()), 0.0)
        self._call = self._reactor.callLater(least_s / self._rate(), self._finish)

    def _finish(self):
        self._call = None
        self._advance()
        ended = [done for done, left in self._left_s_by_done.items() if left <= LEAST_WORK_S]
        for done in ended:
            del self._left_s_by_done[done]
        self._schedule()
        for done in ended:
            done.callback(None)
