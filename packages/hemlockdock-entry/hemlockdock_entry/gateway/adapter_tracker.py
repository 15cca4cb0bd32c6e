"""Track loaded adapters, and queue requests until an engine has loaded their adapter."""

from hemlockdock_core.messages import AdapterWish
from hemlockdock_core.metrics import COUNTERS

MS_PER_S = 1_000
# An adapter loads in a few milliseconds; an agent that has not replied by then is unreachable.
ADAPTER_LOAD_TIMEOUT_S = 0.7


class AdapterTracker:
    """Track until when each adapter stays loaded, and which exchanges wait for a load.

    Parameters
    ----------
    gateway : Gateway
    on_settled : callable
        Called with an exchange that stops waiting, and whether its adapter is loaded.
    """

    def __init__(self, gateway, on_settled):
        self._gateway = gateway
        self._on_settled = on_settled
        self._held_until_s_by_key = {}
        self._waiting_by_key = {}

    def waiting_exchanges(self):
        """Return all waiting exchanges.

        Returns
        -------
        list of ProxyExchange
        """
        found = []
        for waiting in self._waiting_by_key.values():
            found.extend(waiting)
        return found

    def is_held(self, exchange, row):
        """Return whether an endpoint has a request's adapter loaded.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow

        Returns
        -------
        bool
        """
        key = (row.endpoint_id, exchange.model, exchange.adapter)
        return self._held_until_s_by_key.get(key, 0.0) > self._gateway.clock.seconds()

    def request_adapter(self, exchange, row):
        """Ask an endpoint's agent to load a request's adapter.

        If the adapter is already loaded, this extends the time for which it stays loaded.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow
        """
        if row.agent_address:
            message = AdapterWish(row.endpoint_id, exchange.model, exchange.adapter)
            self._gateway.send(row.agent_address, message)

    def add_waiting(self, exchange, row):
        """Queue a request; its slot at the endpoint stays reserved.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow
        """
        exchange.reserved_endpoint_id = row.endpoint_id
        self._waiting_by_key.setdefault(_key(exchange), []).append(exchange)
        self._gateway.clock.callLater(
            ADAPTER_LOAD_TIMEOUT_S, self._on_timeout, exchange, row.endpoint_id
        )

    def remove_waiting(self, exchange):
        """Remove a request from the queue, and return whether it was queued.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        bool
        """
        key = _key(exchange)
        waiting = self._waiting_by_key.get(key, [])
        if exchange not in waiting:
            return False
        waiting.remove(exchange)
        if not waiting:
            del self._waiting_by_key[key]
        return True

    def record_adapter_held(self, message):
        """Process an agent's report on an adapter, and settle the exchanges that wait for it.

        Parameters
        ----------
        message : AdapterHeld
        """
        key = (message.endpoint_id, message.model, message.adapter)
        waiting = self._waiting_by_key.pop(key, [])
        if message.held_ms:
            now_s = self._gateway.clock.seconds()
            self._held_until_s_by_key[key] = now_s + message.held_ms / MS_PER_S
        for exchange in waiting:
            self._on_settled(exchange, bool(message.held_ms))

    def remove_absent(self):
        """Remove the adapters of endpoints that are no longer in the routing table."""
        for key in list(self._held_until_s_by_key):
            endpoint_id = key[0]
            if self._gateway.endpoint_row(endpoint_id) is None:
                del self._held_until_s_by_key[key]

    def _on_timeout(self, exchange, endpoint_id):
        if exchange.reserved_endpoint_id != endpoint_id or not self.remove_waiting(exchange):
            return
        COUNTERS.increment("gateway_adapters_late")
        self._on_settled(exchange, False)


def _key(exchange):
    return (exchange.reserved_endpoint_id, exchange.model, exchange.adapter)
