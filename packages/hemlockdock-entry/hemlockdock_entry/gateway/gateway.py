"""Hold what the connections and exchanges of one entry share."""

import logging
import random
import secrets

from hemlockdock_core.rows import LimitsRow
from hemlockdock_entry.gateway.endpoint_channel import ChannelPool
from hemlockdock_entry.gateway.endpoint_health import HealthBoard
from hemlockdock_entry.gateway.exchange import Exchange
from hemlockdock_entry.gateway.model_desk import ModelDesk
from hemlockdock_entry.gateway.retry_allowance import RetryAllowance
from hemlockdock_entry.gateway.route_index import RouteIndex

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# Before any routes are known, clients are bound by these.
FIRST_LIMITS = LimitsRow(0, 16_384, 4_194_304, 3_000, 15_000)
# A request waits this long for the first table after the process's start.
HOLD_S = 0.8


class Gateway:
    """Hold what the connections and exchanges of one entry share.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    wire : Wire
    send : callable
        Takes an address and a message.

    Attributes
    ----------
    clock : twisted reactor
    headers : HeaderNames
    dropped_headers : frozenset of bytes
        Clients' headers that are not passed on.
    routes : RouteIndex or None
        None until a table was received.
    limits : LimitsRow
    health : HealthBoard
    models : ModelDesk
    draining : bool
        Whether clients are asked to turn elsewhere.
    closed_to_new : bool
        Whether further requests are refused: they might outlast the process.
    fleet : FleetSection
    """

    def __init__(self, reactor, settings, wire, send):
        self.clock = reactor
        self.headers = wire.headers
        self.dropped_headers = wire.headers.reserved | {wire.headers.time_left_ms}
        self.routes = None
        self.limits = FIRST_LIMITS
        self.draining = False
        self.closed_to_new = False
        self.send = send
        self.fleet = settings.fleet
        self._settings = settings
        self._random = random.Random(secrets.randbits(64))
        self._link = None
        self._rows_by_pool = {}
        self._channels_by_address = {}
        self._allowance_by_pool = {}
        self._connections = set()
        self._exchanges = set()
        self._on_idle = None
        self._held = []
        self.health = HealthBoard(settings.process.failure_domain, self._random)
        self.models = ModelDesk(self)

    @property
    def entries(self):
        """Return how many entries share what all may do together."""
        return self._link.entries

    @property
    def revision(self):
        """Return the revision of the routing table."""
        return self._link.table.revision

    @property
    def keep_alive_s(self):
        """Return how long clients may leave a connection idle, in whole seconds."""
        return max(1, self.limits.idle_timeout_ms // MS_PER_S)

    @property
    def in_progress(self):
        """Return how many requests have no final answer yet."""
        return len(self._exchanges)

    def join(self, link):
        """Take the link to control.

        Parameters
        ----------
        link : ControlLink
        """
        self._link = link

    def tell_leader(self, message):
        """Send a message to control.

        Parameters
        ----------
        message : Message
        """
        self._link.send(message)

    def begin(self, connection, request):
        """Make the exchange for a request.

        Parameters
        ----------
        connection : ClientConnection
        request : ClientRequest

        Returns
        -------
        Exchange
        """
        exchange = Exchange(self, connection, request)
        self._exchanges.add(exchange)
        return exchange

    def hold_until_routes(self, exchange):
        """Let a request wait for the first table, for a short time.

        Parameters
        ----------
        exchange : Exchange
        """
        self._held.append(exchange)
        self.clock.callLater(HOLD_S, self._held_too_long, exchange)

    def _held_too_long(self, exchange):
        if exchange in self._held:
            self._held.remove(exchange)
            exchange.refuse_without_routes()

    def _start_held(self):
        held, self._held = self._held, []
        for exchange in held:
            if not exchange.ended:
                exchange.start()

    def ended(self, exchange):
        """Forget an exchange.

        Parameters
        ----------
        exchange : Exchange
        """
        self._exchanges.discard(exchange)
        if not self._exchanges and self._on_idle is not None:
            on_idle, self._on_idle = self._on_idle, None
            self.clock.callLater(0, on_idle)

    def when_idle(self, callback):
        """Call back once no request is in progress.

        Parameters
        ----------
        callback : callable
        """
        if self._exchanges:
            self._on_idle = callback
            return
        callback()

    def connected(self, connection):
        """Count a client's connection.

        Parameters
        ----------
        connection : ClientConnection
        """
        self._connections.add(connection)

    def disconnected(self, connection):
        """Forget a client's connection.

        Parameters
        ----------
        connection : ClientConnection
        """
        self._connections.discard(connection)

    def choose_pool(self, route):
        """Choose one of a route's pools by their weights.

        Parameters
        ----------
        route : RouteRow

        Returns
        -------
        PoolRow or None
        """
        pools = route.pools
        if len(pools) == 1:
            return self._link.table.pool_by_name.get(pools[0].pool)
        weights = [target.weight for target in pools]
        chosen = self._random.choices(pools, weights)[0]
        return self._link.table.pool_by_name.get(chosen.pool)

    def rows_of(self, pool):
        """Return a pool's endpoints.

        Parameters
        ----------
        pool : str

        Returns
        -------
        list of EndpointRow
        """
        return self._rows_by_pool.get(pool, ())

    def all_rows(self):
        """Return every endpoint."""
        return self._link.table.endpoint_by_id.values()

    def row(self, endpoint_id):
        """Return an endpoint's row, None where it is gone.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        EndpointRow or None
        """
        return self._link.table.endpoint_by_id.get(endpoint_id)

    def rows_with_connections(self, pool):
        """Return a pool's endpoints to which this entry may send one more request.

        An endpoint resets connections beyond what it accepts from all entries together.

        Parameters
        ----------
        pool : PoolRow

        Returns
        -------
        list of EndpointRow
        """
        rows = self.rows_of(pool.name)
        if not pool.most_connections:
            return rows
        share = max(1, pool.most_connections // max(1, self.entries))
        return [row for row in rows if self.health.of(row.endpoint_id).in_flight < share]

    def has_other(self, exchange, row):
        """Tell whether another endpoint could run a request now.

        Parameters
        ----------
        exchange : Exchange
        row : EndpointRow
            The endpoint that has it now.

        Returns
        -------
        bool
        """
        now_s = self.clock.seconds()
        for other in self.rows_of(row.pool):
            if other.leaving or other.endpoint_id in exchange.tried_ids:
                continue
            if exchange.model and not other.holds(exchange.model):
                continue
            health = self.health.of(other.endpoint_id)
            if max(health.rests_until_s, health.full_until_s) <= now_s:
                return True
        return False

    def channels(self, row):
        """Return the connections to an endpoint.

        Parameters
        ----------
        row : EndpointRow

        Returns
        -------
        ChannelPool
        """
        channels = self._channels_by_address.get(row.address)
        if channels is None:
            channels = ChannelPool(self.clock, row.address, self.headers.request_id)
            self._channels_by_address[row.address] = channels
        return channels

    def allowance_of(self, pool):
        """Return the bound on further sends to a pool.

        Parameters
        ----------
        pool : str

        Returns
        -------
        RetryAllowance
        """
        allowance = self._allowance_by_pool.get(pool)
        if allowance is None:
            allowance = RetryAllowance(self._settings.fleet)
            self._allowance_by_pool[pool] = allowance
        return allowance

    def table_changed(self):
        """Take the routing table as it is now in force."""
        table = self._link.table
        if table.limits is None:
            return
        if self.limits is not table.limits:
            self.limits = table.limits
            self.routes = RouteIndex(table.route_by_name.values())
            logger.info(
                "routes in force", extra={"number": self.limits.number, "revision": self.revision}
            )
        rows_by_pool = {}
        addresses = set()
        for row in table.endpoint_by_id.values():
            rows_by_pool.setdefault(row.pool, []).append(row)
            addresses.add(row.address)
        self._rows_by_pool = rows_by_pool
        self.health.forget_gone(table.endpoint_by_id)
        for address in list(self._channels_by_address):
            if address not in addresses:
                self._channels_by_address.pop(address).close()
        self.models.table_changed()
        self._start_held()

    def tidy(self):
        """Close what was idle for too long, and repeat reports that may be lost."""
        now_s = self.clock.seconds()
        limit_s = self.limits.idle_timeout_ms / MS_PER_S
        for connection in list(self._connections):
            if connection.is_idle and now_s - connection.idle_since_s > limit_s:
                connection.close_idle()
        for channels in self._channels_by_address.values():
            channels.close_old()
        self.models.repeat_report()

    def give_up_all(self):
        """End all requests, since the process ends."""
        for exchange in list(self._exchanges):
            exchange.give_up()

    def close_idle_clients(self):
        """Close clients' connections on which nothing is under way."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close_idle()
