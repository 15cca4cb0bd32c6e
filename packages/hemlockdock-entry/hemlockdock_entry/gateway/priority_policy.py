"""Let less urgent requests yield to more urgent ones, and spread the retries of refused clients."""

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.balancing.retry_pacer import RetryPacer
from hemlockdock_entry.balancing.urgent_refusals import UrgentRefusals, may_yield
from hemlockdock_entry.gateway.patience import (
    FIRST_EVENT_S,
    MIN_RETRY_AFTER_S,
    longest_retry_after_s,
)

MS_PER_S = 1_000


class PriorityPolicy:
    """The priority of more urgent requests, while the entry knows the loads of endpoints.

    Parameters
    ----------
    gateway : Gateway
    random_source : random.Random
    """

    def __init__(self, gateway, random_source):
        self._gateway = gateway
        self._random = random_source
        self._refusals = UrgentRefusals()
        self._pacer_by_model = {}

    def endpoints_after_yielding(self, exchange, rows, uses):
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
        models = self._refusals.models(exchange.pool.name, exchange.urgency, now_s)
        for use in uses:
            is_urgent = any(other.urgency < exchange.urgency for other in use.waiting)
            if use.pool == exchange.pool.name and is_urgent:
                models.add(use.model)
        allowed = [row for row in rows if not any(row.has_model(model) for model in models)]
        if len(allowed) < len(rows):
            COUNTERS.increment("gateway_yields_to_urgent")
        return allowed

    def record_accepted(self, exchange):
        """Count a request that an endpoint has begun to answer.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        now_s = self._gateway.clock.seconds()
        if self._gateway.load_view.has_recent_summary(now_s):
            self._pacer(exchange).record_served(now_s)

    def record_refusal(self, exchange):
        """Record that a request is refused for lack of capacity.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        now_s = self._gateway.clock.seconds()
        if self._gateway.load_view.has_recent_summary(now_s) and exchange.model:
            pool = exchange.pool.name
            self._refusals.record_refusal(pool, exchange.model, exchange.urgency, now_s)

    def retry_after_ms(self, exchange, after_ms):
        """Return the delay after which a refused client should retry, spread over clients.

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
        latest_s = now_s + longest_retry_after_s(exchange.deadline_s, now_s)
        retry_s = self._pacer(exchange).next_retry_s(earliest_s, latest_s, now_s)
        return round((retry_s - now_s) * MS_PER_S)

    def _pacer(self, exchange):
        key = (exchange.pool.name, exchange.model)
        pacer = self._pacer_by_model.get(key)
        if pacer is None:
            pacer = RetryPacer(self._random)
            self._pacer_by_model[key] = pacer
        return pacer
