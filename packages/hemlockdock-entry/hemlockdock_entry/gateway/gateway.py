"""Shared state of an entry's client connections and exchanges."""

import logging
import random
import secrets

from hemlockdock_core.metrics import GAUGES
from hemlockdock_core.rows import LimitsRow
from hemlockdock_entry.balancing import LoadView
from hemlockdock_entry.customers import CustomerDirectory, QuotaClient
from hemlockdock_entry.gateway.buffer_budget import BufferBudget
from hemlockdock_entry.gateway.client_budget import response_budget_bytes
from hemlockdock_entry.gateway.client_limits import ClientLimits
from hemlockdock_entry.gateway.client_registry import ClientRegistry
from hemlockdock_entry.gateway.endpoint_gate import EndpointGate
from hemlockdock_entry.gateway.endpoint_health import EndpointHealthTracker
from hemlockdock_entry.gateway.endpoint_limits import EndpointLimits
from hemlockdock_entry.gateway.endpoint_pauses import EndpointPauses
from hemlockdock_entry.gateway.endpoint_selection import EndpointSelection
from hemlockdock_entry.gateway.model_queue import ModelQueue
from hemlockdock_entry.gateway.origin_lookup import OriginLookup
from hemlockdock_entry.gateway.other_entries import OtherEntries
from hemlockdock_entry.gateway.permit_tracker import PermitTracker
from hemlockdock_entry.gateway.pool_endpoints import PoolEndpoints
from hemlockdock_entry.gateway.priority_policy import PriorityPolicy
from hemlockdock_entry.gateway.proxy_exchange import ProxyExchange
from hemlockdock_entry.gateway.quarantine import Quarantine
from hemlockdock_entry.gateway.response_buffer import MAX_BODY_BYTES
from hemlockdock_entry.gateway.route_index import RouteIndex
from hemlockdock_entry.gateway.startup_queue import StartupQueue
from hemlockdock_entry.gateway.stop_schedule import StopSchedule

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# Limits that apply until the first routing table is received.
DEFAULT_LIMITS = LimitsRow(0, 16_384, 4_194_304, 3_000, 15_000)


class Gateway:
    """Shared state of an entry: routing table, endpoint health, connections and exchanges.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    wire : Wire
    send : callable
        Sends a message to an address.
    random_source : random.Random, optional

    Attributes
    ----------
    clock : twisted reactor
    headers : HeaderNames
    dropped_headers : frozenset of bytes
        Request headers that are not forwarded.
    routes : RouteIndex or None
        None until the first routing table is received.
    limits : LimitsRow
    customers : CustomerDirectory
    health : EndpointHealthTracker
    endpoints : PoolEndpoints
    pauses : EndpointPauses
    endpoint_limits : EndpointLimits
    permits : PermitTracker
    quotas : QuotaClient
    quarantine : Quarantine
    gate : EndpointGate
    stop_schedule : StopSchedule
    load_view : LoadView
    selection : EndpointSelection
    priority_policy : PriorityPolicy
    model_queue : ModelQueue
    origin_lookup : OriginLookup
    other_entries : OtherEntries
    clients : ClientRegistry
    client_limits : ClientLimits
    startup_queue : StartupQueue
    buffer_budget : BufferBudget
    draining : bool
        Whether the entry is draining: responses close their connections.
    refuses_new_requests : bool
        Whether new requests are refused because they could outlive the process.
    fleet : FleetSection
    """

    def __init__(self, reactor, settings, wire, send, random_source=None):
        self.clock = reactor
        self.headers = wire.headers
        self.dropped_headers = wire.headers.reserved | {wire.headers.time_left_ms}
        self.routes = None
        self.limits = DEFAULT_LIMITS
        self.customers = CustomerDirectory(DEFAULT_LIMITS)
        self.clients = ClientRegistry()
        self.client_limits = ClientLimits(self, settings)
        self.startup_queue = StartupQueue(reactor)
        self.buffer_budget = BufferBudget(
            response_budget_bytes(settings),
            MAX_BODY_BYTES,
            lambda: self.client_limits.unread_bytes,
        )
        self.draining = False
        self.refuses_new_requests = False
        self.send = send
        self.fleet = settings.fleet
        self._random = random_source or random.Random(secrets.randbits(64))
        self._link = None
        self._exchanges = set()
        self._on_idle = None
        self.health = EndpointHealthTracker(settings.process.failure_domain, self._random)
        self.pauses = EndpointPauses(reactor)
        self.endpoints = PoolEndpoints(
            reactor,
            settings,
            wire.headers.request_id,
            self.health,
            self._on_idle_connection_lost,
        )
        self.endpoint_limits = EndpointLimits(self, self._limit_changed)
        self.permits = PermitTracker(self, self.endpoint_limits, self._random)
        self.quotas = QuotaClient(self, self._random)
        self.other_entries = OtherEntries(reactor, send)
        self.quarantine = Quarantine(self, settings.process.node_id)
        self.stop_schedule = StopSchedule(reactor)
        self.gate = EndpointGate(self)
        self.load_view = LoadView()
        self.selection = EndpointSelection(self)
        self.priority_policy = PriorityPolicy(self, self._random)
        self.model_queue = ModelQueue(self)
        self.origin_lookup = OriginLookup(reactor, settings.process.node_id, send)

    @property
    def share_divisor(self):
        """Return the number by which to divide a limit that all entries share.

        It is their number, weighted by this entry's capacity.
        """
        ratio = self._link.capacity_ratio
        return self._link.entries if ratio == 1.0 else self._link.entries / ratio

    @property
    def link(self):
        """Return the ControlLink."""
        return self._link

    @property
    def origin_members(self):
        """Return the MemberAddresses of the control members that keep the origins of streams."""
        return self._link.origin_members

    @property
    def table(self):
        """Return the RoutingTable."""
        return self._link.table

    @property
    def revision(self):
        """Return the revision of the routing table."""
        return self._link.table.revision

    @property
    def keep_alive_s(self):
        """Return the idle timeout of client connections, in whole seconds."""
        return max(1, self.limits.idle_timeout_ms // MS_PER_S)

    @property
    def in_progress(self):
        """Return the number of requests without a final response."""
        return len(self._exchanges)

    def attach_link(self, link):
        """Attach the link to control.

        Parameters
        ----------
        link : ControlLink
        """
        self._link = link

    def send_to_leader(self, message):
        """Send a message to the leader of control.

        Parameters
        ----------
        message : Message
        """
        self._link.send(message)

    def propose(self, command, timeout_ms):
        """Propose a command to control.

        Parameters
        ----------
        command : Command
        timeout_ms : int

        Returns
        -------
        Deferred
            See ``ControlLink.propose``.
        """
        return self._link.propose(command, timeout_ms)

    def create_exchange(self, connection, request):
        """Create the exchange of a request.

        Parameters
        ----------
        connection : ClientConnection
        request : ClientRequest

        Returns
        -------
        ProxyExchange
        """
        exchange = ProxyExchange(self, connection, request)
        self._exchanges.add(exchange)
        return exchange

    def remove_exchange(self, exchange):
        """Remove an ended exchange.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        self._exchanges.discard(exchange)
        if not self._exchanges and self._on_idle is not None:
            on_idle, self._on_idle = self._on_idle, None
            self.clock.callLater(0, on_idle)

    def call_when_idle(self, callback):
        """Call a function once no request is in progress.

        Parameters
        ----------
        callback : callable
        """
        if self._exchanges:
            self._on_idle = callback
            return
        callback()

    def pool(self, name):
        """Return a pool, or None if it is not known.

        Parameters
        ----------
        name : str

        Returns
        -------
        PoolRow or None
        """
        return self._link.table.pool_by_name.get(name)

    def choose_pool(self, route):
        """Choose one of a route's pools at random, by weight.

        Parameters
        ----------
        route : RouteRow

        Returns
        -------
        PoolRow or None
        """
        pools = route.pools
        if len(pools) == 1:
            return self.pool(pools[0].pool)
        weights = [target.weight for target in pools]
        chosen = self._random.choices(pools, weights)[0]
        return self.pool(chosen.pool)

    def endpoint_rows(self):
        """Return all endpoints."""
        return self.endpoints.all()

    def endpoint_row(self, endpoint_id):
        """Return an endpoint's row, or None if the endpoint no longer exists.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        EndpointRow or None
        """
        return self.endpoints.find(endpoint_id)

    def endpoint_known(self):
        """Dispatch waiting requests, since it is known of one more endpoint whether it listens."""
        self.model_queue.check_waiting()

    def table_changed(self):
        """Apply a change of the routing table."""
        table = self._link.table
        if table.limits is None:
            return
        if self.limits is not table.limits:
            self.limits = table.limits
            self.routes = RouteIndex(table.route_by_name.values())
            self.stop_schedule.run_times.keep(table.route_by_name.keys())
            logger.info(
                "routes applied", extra={"number": self.limits.number, "revision": self.revision}
            )
        customers_changed = self.customers.update(table)
        self.endpoints.update(table.endpoint_by_id)
        self.health.remove_absent(table.endpoint_by_id)
        self.permits.remove_absent(table.endpoint_by_id)
        self.quotas.table_changed()
        self.endpoint_limits.update(table.endpoint_by_id)
        self.quarantine.table_changed()
        if customers_changed:
            for exchange in list(self._exchanges):
                exchange.customers_changed()
        self.model_queue.table_changed()
        self.startup_queue.start_all()

    def run_maintenance(self):
        """Close expired idle connections, and repeat demand reports, which may be lost."""
        now_s = self.clock.seconds()
        limit_s = self.limits.idle_timeout_ms / MS_PER_S
        self.clients.close_expired(now_s, limit_s)
        self.client_limits.drop_slow_clients()
        self.endpoints.close_expired_connections()
        self.quarantine.run_maintenance()
        self.pauses.remove_expired()
        self.endpoint_limits.run_maintenance()
        self.permits.run_maintenance()
        self.quotas.run_maintenance()
        self.model_queue.repeat_report()
        GAUGES.set("gateway_capacity_ratio", self._link.capacity_ratio)

    def _limit_changed(self, endpoint_id, before_per_s, after_per_s):
        self.permits.limit_changed(endpoint_id, before_per_s, after_per_s)

    def _on_idle_connection_lost(self, address):
        self.quarantine.watch.idle_connection_lost(address)

    def shut_down_exchanges(self):
        """End all requests because the process is stopping."""
        for exchange in list(self._exchanges):
            exchange.shut_down()
