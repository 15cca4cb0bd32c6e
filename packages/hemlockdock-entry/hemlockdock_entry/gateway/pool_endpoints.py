"""Endpoints of each pool, with their connections and the pools' retry budgets."""

from hemlockdock_entry.gateway.connection_pool import ConnectionPool
from hemlockdock_entry.gateway.leaving_endpoints import LeavingEndpoints
from hemlockdock_entry.gateway.retiring_endpoints import RetiringEndpoints
from hemlockdock_entry.gateway.windowed_retry_budget import WindowedRetryBudget


class PoolEndpoints:
    """Endpoints of each pool in the routing table.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    request_id_name : bytes
    health : EndpointHealthTracker
    on_idle_connection_lost : callable
        Takes the address of the endpoint.
    """

    def __init__(self, reactor, settings, request_id_name, health, on_idle_connection_lost):
        self._reactor = reactor
        self._settings = settings
        self._request_id_name = request_id_name
        self._health = health
        self._on_idle_connection_lost = on_idle_connection_lost
        self._row_by_id = {}
        self._leaving = LeavingEndpoints()
        self._retiring = RetiringEndpoints(reactor, settings.fleet)
        self._rows_by_pool = {}
        self._connections_by_address = {}
        self._retry_budget_by_pool = {}

    def update(self, row_by_id):
        """Replace the endpoints, and close connections to those that are gone.

        Parameters
        ----------
        row_by_id : dict of str to EndpointRow
        """
        self._leaving.update(row_by_id)
        self._retiring.update(row_by_id)
        self._set_rows(row_by_id)
        addresses = {row.address for row in row_by_id.values()}
        for address in list(self._connections_by_address):
            if address not in addresses:
                self._connections_by_address.pop(address).close()

    def mark_leaving(self, endpoint_id):
        """Send no further requests to an endpoint, which announced that it leaves.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        bool
            Whether this is news.
        """
        if not self._leaving.add(endpoint_id):
            return False
        self._set_rows(self._row_by_id)
        return True

    def mark_ended(self, endpoint_id):
        """Expect another process at an endpoint, because nothing listens at its address.

        Parameters
        ----------
        endpoint_id : str
        """
        self._leaving.remove(endpoint_id)

    def has_left(self, row):
        """Return whether an endpoint takes no new work.

        Parameters
        ----------
        row : EndpointRow

        Returns
        -------
        bool
        """
        return row.leaving or self._retiring.has_left(row)

    def find(self, endpoint_id):
        """Return an endpoint's row, or None if the endpoint no longer exists.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        EndpointRow or None
        """
        return self._row_by_id.get(endpoint_id)

    def all(self):
        """Return the rows of all endpoints."""
        return self._row_by_id.values()

    def of_pool(self, pool):
        """Return the endpoints of a pool.

        Parameters
        ----------
        pool : str

        Returns
        -------
        list of EndpointRow
        """
        return self._rows_by_pool.get(pool, ())

    def below_connection_limit(self, pool, share_divisor):
        """Return a pool's endpoints at which this entry is below its connection limit.

        An endpoint resets connections beyond its limit, which all entries share.

        Parameters
        ----------
        pool : PoolRow
        share_divisor : float
            The number by which to divide the limit, see ``Gateway.share_divisor``.

        Returns
        -------
        list of EndpointRow
        """
        rows = self.of_pool(pool.name)
        if not pool.most_connections:
            return rows
        share = max(1, pool.most_connections // max(1, share_divisor))
        return [row for row in rows if self._health.for_endpoint(row.endpoint_id).in_flight < share]

    def connections_to(self, row):
        """Return the connection pool of an endpoint.

        Parameters
        ----------
        row : EndpointRow

        Returns
        -------
        ConnectionPool
        """
        connections = self._connections_by_address.get(row.address)
        if connections is None:
            connections = ConnectionPool(
                self._reactor, row.address, self._request_id_name, self._on_idle_connection_lost
            )
            self._connections_by_address[row.address] = connections
        return connections

    def close_expired_connections(self):
        """Close idle connections whose keep-alive time has expired."""
        for connections in self._connections_by_address.values():
            connections.close_expired()

    def retry_budget(self, pool):
        """Return the retry budget of a pool.

        Parameters
        ----------
        pool : str

        Returns
        -------
        WindowedRetryBudget
        """
        budget = self._retry_budget_by_pool.get(pool)
        if budget is None:
            budget = WindowedRetryBudget(self._settings.fleet)
            self._retry_budget_by_pool[pool] = budget
        return budget

    def _set_rows(self, row_by_id):
        self._row_by_id = {key: self._leaving.apply(row) for key, row in row_by_id.items()}
        self._rows_by_pool = {}
        for row in self._row_by_id.values():
            self._rows_by_pool.setdefault(row.pool, []).append(row)
