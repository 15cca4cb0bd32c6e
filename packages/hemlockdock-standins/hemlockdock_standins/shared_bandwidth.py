"""Bandwidth that concurrent transfers share equally."""

from twisted.internet.defer import Deferred

MIN_REMAINING_S = 1e-9


class SharedBandwidth:
    """Run concurrent transfers; beyond ``full_speed`` of them all slow down in proportion.

    Parameters
    ----------
    reactor : twisted reactor
    full_speed : int
        Number of concurrent transfers that run at full speed.
    """

    def __init__(self, reactor, full_speed):
        self._reactor = reactor
        self._full_speed = full_speed
        self._remaining_s_by_transfer = {}
        self._updated_s = 0.0
        self._finish_call = None

    @property
    def active(self):
        """Number of running transfers."""
        return len(self._remaining_s_by_transfer)

    def start_transfer(self, full_speed_s):
        """Start a transfer.

        Parameters
        ----------
        full_speed_s : float
            Duration at full speed.

        Returns
        -------
        Deferred
            Fires when the transfer is complete.
        """
        self._advance()
        transfer = Deferred()
        self._remaining_s_by_transfer[transfer] = full_speed_s
        self._schedule()
        return transfer

    def close(self):
        """Drop all transfers; their Deferreds never fire."""
        self._remaining_s_by_transfer.clear()
        self._schedule()

    def _rate(self):
        return min(1.0, self._full_speed / max(self.active, 1))

    def _advance(self):
        now_s = self._reactor.seconds()
        progress_s = (now_s - self._updated_s) * self._rate()
        self._updated_s = now_s
        for transfer in self._remaining_s_by_transfer:
            self._remaining_s_by_transfer[transfer] -= progress_s

    def _schedule(self):
        if self._finish_call is not None:
            self._finish_call.cancel()
            self._finish_call = None
        if not self._remaining_s_by_transfer:
            return
        shortest_s = max(min(self._remaining_s_by_transfer.values()), 0.0)
        self._finish_call = self._reactor.callLater(
            shortest_s / self._rate(), self._finish_transfers
        )

    def _finish_transfers(self):
        self._finish_call = None
        self._advance()
        finished = [
            transfer
            for transfer, remaining_s in self._remaining_s_by_transfer.items()
            if remaining_s <= MIN_REMAINING_S
        ]
        for transfer in finished:
            del self._remaining_s_by_transfer[transfer]
        self._schedule()
        for transfer in finished:
            transfer.callback(None)
