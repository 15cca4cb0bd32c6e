"""Leave room for more urgent requests, and tell refused clients when to return."""

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.balancing.return_spread import ReturnSpread
from hemlockdock_entry.balancing.urgent_needs import UrgentNeeds, may_yield
from hemlockdock_entry.gateway.patience import FIRST_EVENT_S, MIN_RETRY_AFTER_S, longest_return_s

MS_PER_S = 1_000


class ClassOrder:
    """The order between classes of requests, while the entry knows the loads of endpoints.

    Parameters
    ----------
    gateway : Gateway
    random_source : random.Random
    """

    def __init__(self, gateway, random_source):
        self._gateway = gateway
        self._random = random_source
        self._needs = UrgentNeeds()
        self._spread_by_model = {}

    def leave_room(self, exchange, rows, uses):
        """Return the endpoints that a request may take without delaying more urgent ones.

        Parameters
        ----------
        exchange : ProxyExchange
        rows : list of EndpointRow
        uses : iterable of LocalDemand

        Returns
        -------
        list of EndpointRow
            Without those that have a model of which more urgent requests wait, or were refused.
        """
        now_s = self._gateway.clock.seconds()
        if not self._gateway.load_view.has_recent_summary(now_s):
            return rows
        if exchange.may_have_run or not rows:
            return rows
        latest_start_s = exchange.target_s - FIRST_EVENT_S
        if not may_yield(exchange.request.received_s, latest_start_s, now_s):
            return rows
        models = self._needs.models(exchange.pool.name, exchange.urgency, now_s)
        for use in uses:
            is_urgent = any(other.urgency < exchange.urgency for other in use.waiting)
            if use.pool == exchange.pool.name and is_urgent:
                models.add(use.model)
        allowed = [row for row in rows if not any(row.has_model(model) for model in models)]
        if len(allowed) < len(rows):
            COUNTERS.increment("gateway_room_left")
        return allowed

    def record_accepted(self, exchange):
        """Count a request that an endpoint has begun to answer.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        now_s = self._gateway.clock.seconds()
        if self._gateway.load_view.has_recent_summary(now_s):
            self._spread(exchange).record_served(now_s)

    def record_refusal(self, exchange):
        """Record that a request is refused for lack of capacity.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        now_s = self._gateway.clock.seconds()
        if self._gateway.load_view.has_recent_summary(now_s) and exchange.model:
            pool = exchange.pool.name
            self._needs.record_refusal(pool, exchange.model, exchange.urgency, now_s)

    def return_after_ms(self, exchange, after_ms):
        """Return when a refused client should return, spread over clients.

        Parameters
        ----------
        exchange : ProxyExchange
        after_ms : int or None
            Time until there will be capacity; None if unknown.

        Returns
        -------
        int or None
            ``after_ms`` while the loads of endpoints are not known.
        """
        now_s = self._gateway.clock.seconds()
        if not self._gateway.load_view.has_recent_summary(now_s):
            return after_ms
        earliest_s = now_s + max((after_ms or 0) / MS_PER_S, MIN_RETRY_AFTER_S)
        latest_s = now_s + longest_return_s(exchange.deadline_s, now_s)
        booked_s = self._spread(exchange).book_s(earliest_s, latest_s, now_s)
        return round((booked_s - now_s) * MS_PER_S)

    def _spread(self, exchange):
        key = (exchange.pool.name, exchange.model)
        spread = self._spread_by_model.get(key)
        if spread is None:
            spread = ReturnSpread(self._random)
            self._spread_by_model[key] = spread
        return spread
