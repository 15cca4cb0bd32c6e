"""Hold requests that arrive before the first routing table."""

from hemlockdock_core.errors import ErrorKind, Refusal

# Maximum wait of a request for the first routing table after startup.
ROUTES_WAIT_S = 0.8
# If control is unavailable at first, it takes about one more leader election.
NO_ROUTES_RETRY_MS = 800


class StartupQueue:
    """The requests that wait for the first routing table.

    Parameters
    ----------
    clock : twisted reactor
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting = []

    def add(self, exchange):
        """Queue a request until ``start_all`` is called or ``ROUTES_WAIT_S`` passes.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        self._waiting.append(exchange)
        self._clock.callLater(ROUTES_WAIT_S, self._on_timeout, exchange)

    def start_all(self):
        """Start the requests that wait."""
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            if not exchange.ended:
                exchange.start()

    def _on_timeout(self, exchange):
        if exchange in self._waiting:
            self._waiting.remove(exchange)
            why = "no routes are known yet"
            refusal = Refusal.of(ErrorKind.NO_CONTROL, why, retry_after_ms=NO_ROUTES_RETRY_MS)
            exchange.refuse(refusal)
