"""Decide which endpoints may take a request of this entry now."""

from math import ceil

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.balancing import LoadBalancer
from hemlockdock_entry.gateway.continuation import may_run_at

MS_PER_S = 1_000


class EndpointSelection:
    """The endpoints that may take a request now, as far as this entry knows.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    balancer : LoadBalancer
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self.balancer = LoadBalancer(gateway.load_view, gateway.health)

    def record_loads(self, summary):
        """Record what the leader told of endpoints' loads.

        Parameters
        ----------
        summary : LoadSummary
        """
        gateway = self._gateway
        rows = gateway.endpoint_rows()
        now_s = gateway.clock.seconds()
        gateway.load_view.record(summary, rows, gateway.table.pool_by_name, now_s)

    def usable(self, exchange):
        """Return the endpoints of a request's pool that may take it, or give it a permit.

        Those that leave, in doubt, in a pause, or at their limit are left out.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        list of EndpointRow
        """
        gateway = self._gateway
        usable = []
        for row in gateway.endpoints.below_connection_limit(exchange.pool, gateway.share_divisor):
            if gateway.gate.is_closed(row.endpoint_id):
                continue
            if not gateway.permits.is_open(exchange, row.endpoint_id):
                continue
            usable.append(row)
        return usable

    def has_unlimited(self, pool, model):
        """Return whether an endpoint without limit has a model.

        Parameters
        ----------
        pool, model : str

        Returns
        -------
        bool
        """
        for row in self._gateway.endpoints.of_pool(pool):
            is_limited = self._gateway.endpoint_limits.per_s(row.endpoint_id) is not None
            if not is_limited and not row.leaving and row.has_model(model):
                return True
        return False

    def has_alternative(self, exchange):
        """Return whether an endpoint to which a request was not sent yet would take it at once.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        bool
        """
        gateway = self._gateway
        now_s = gateway.clock.seconds()
        for row in gateway.endpoints.of_pool(exchange.pool.name):
            if row.endpoint_id in exchange.tried_ids or gateway.gate.is_closed(row.endpoint_id):
                continue
            if gateway.endpoint_limits.per_s(row.endpoint_id) is not None:
                continue
            if exchange.model and not row.has_model(exchange.model):
                continue
            if not may_run_at(exchange.binding.origin, row):
                continue
            health = gateway.health.for_endpoint(row.endpoint_id)
            if max(health.ejected_until_s, health.full_until_s) <= now_s:
                return True
        return False

    def unconfirmed_or_all(self, rows):
        """Return the endpoints whose limits were not confirmed lately, or all if there are none.

        Parameters
        ----------
        rows : list of EndpointRow

        Returns
        -------
        list of EndpointRow
        """
        limits = self._gateway.endpoint_limits
        return [row for row in rows if limits.is_unconfirmed(row.endpoint_id)] or rows

    def admit(self, exchange, choose):
        """Choose an endpoint for a request, with a permit if it has a limit.

        Parameters
        ----------
        exchange : ProxyExchange
        choose : callable
            Takes the exchange; returns an EndpointRow of the usable ones, or None.

        Returns
        -------
        EndpointRow or None
            None also if the request waits for a permit.
        """
        permits = self._gateway.permits
        row = choose(exchange)
        while row is not None and not permits.acquire(exchange, row.endpoint_id):
            is_unconfirmed = self._gateway.endpoint_limits.is_unconfirmed(row.endpoint_id)
            if is_unconfirmed and exchange.waits_for_permit:
                return None
            row = choose(exchange)
        return row

    def choose(self, exchange):
        """Choose the endpoint for a request that names no model.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        EndpointRow or None
        """
        balancer = self.balancer
        now_s = self._gateway.clock.seconds()
        apart = self._gateway.quarantine.runs_apart(exchange)
        usable = [row for row in self.usable(exchange) if not row.retiring]
        usable = [row for row in usable if may_run_at(exchange.binding.origin, row)]
        usable = self.unconfirmed_or_all(usable)
        row = balancer.choose(usable, now_s, exchange.tried_ids, apart=apart)
        if row is None:
            row = balancer.choose(usable, now_s, apart=apart)
        return row

    def in_doubt(self, pool):
        """Return an endpoint of a pool that may have crashed just now, or None.

        Parameters
        ----------
        pool : PoolRow

        Returns
        -------
        EndpointRow or None
        """
        for row in self._gateway.endpoints.of_pool(pool.name):
            if self._gateway.quarantine.watch.is_in_doubt(row.endpoint_id):
                return row
        return None

    def room_s(self, exchange):
        """Return when the first endpoint that could run a request will take it, as they asked.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        float or None
            None if one of them has asked for nothing, or if there is none.
        """
        now_s = self._gateway.clock.seconds()
        times_s = []
        for row in self._gateway.endpoints.of_pool(exchange.pool.name):
            if row.leaving or not may_run_at(exchange.binding.origin, row):
                continue
            if exchange.model and not row.has_model(exchange.model):
                continue
            paused_until_s = self._gateway.pauses.until_s(row.endpoint_id)
            declined_until_s = self._gateway.permits.declined_until_s(exchange, row.endpoint_id)
            room_s = max(paused_until_s, declined_until_s)
            if room_s <= now_s:
                return None
            times_s.append(room_s)
        return min(times_s, default=None)

    def refusal(self, exchange):
        """Return the refusal of a request that no endpoint can take now.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        Refusal
        """
        room_s = self.room_s(exchange)
        after_ms = None
        if room_s is not None:
            after_ms = ceil((room_s - self._gateway.clock.seconds()) * MS_PER_S)
        after_ms = self._gateway.priority_policy.retry_after_ms(exchange, after_ms)
        message = "no endpoint of the pool can take it"
        return Refusal.of(ErrorKind.NO_CAPACITY, message, retry_after_ms=after_ms)
