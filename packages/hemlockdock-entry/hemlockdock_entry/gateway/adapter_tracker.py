"""Let requests wait until an engine holds their adapter."""

from hemlockdock_core.messages import AdapterWish
from hemlockdock_core.metrics import COUNTERS

MS_PER_S = 1_000
# An adapter takes some milliseconds; an agent that doesn't answer by then is not reached.
ADAPTER_LOAD_TIMEOUT_S = 0.7


class AdapterTracker:
    """Know which adapters are held for how long, and who waits for others.

    Parameters
    ----------
    gateway : Gateway
    on_settled : callable
        Takes an exchange that waits no longer, and whether its adapter is held.
    """

    def __init__(self, gateway, on_settled):
        self._gateway = gateway
        self._on_settled = on_settled
        self._held_until_s_by_key = {}
        self._waiting_by_key = {}

    def waiting_exchanges(self):
        """Return the exchanges that wait.

        Returns
        -------
        list of Exchange
        """
        found = []
        for waiting in self._waiting_by_key.values():
            found.extend(waiting)
        return found

    def is_held(self, exchange, row):
        """Tell whether an endpoint holds a request's adapter for some time yet.

        Parameters
        ----------
        exchange : Exchange
        row : EndpointRow

        Returns
        -------
        bool
        """
        key = (row.endpoint_id, exchange.model, exchange.adapter)
        return self._held_until_s_by_key.get(key, 0.0) > self._gateway.clock.seconds()

    def request_adapter(self, exchange, row):
        """Ask an endpoint's agent to hold a request's adapter, also where it does already.

        Parameters
        ----------
        exchange : Exchange
        row : EndpointRow
        """
        if row.agent_address:
            message = AdapterWish(row.endpoint_id, exchange.model, exchange.adapter)
            self._gateway.send(row.agent_address, message)

    def add_waiting(self, exchange, row):
        """Let a request wait; its place at the endpoint is kept.

        Parameters
        ----------
        exchange : Exchange
        row : EndpointRow
        """
        exchange.reserved_endpoint_id = row.endpoint_id
        self._waiting_by_key.setdefault(_key(exchange), []).append(exchange)
        self._gateway.clock.callLater(
            ADAPTER_LOAD_TIMEOUT_S, self._on_timeout, exchange, row.endpoint_id
        )

    def remove_waiting(self, exchange):
        """Take a request out; tell whether it was waiting.

        Parameters
        ----------
        exchange : Exchange

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
        """Take an agent's word on an adapter.

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
        """Forget what endpoints held that are gone."""
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
