"""Entries and control members that keep where streams began, on virtual time, without a network."""

from types import SimpleNamespace

from twisted.internet.task import Clock

from hemlockdock_control.fleet.stream_origins import StreamOrigins
from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import RecordEndpoints, SubmitRoutes
from hemlockdock_core.messages import FindStreamOrigin, StreamStarted
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import (
    EndpointRow,
    LimitsRow,
    PoolRow,
    RouteKind,
    RouteRow,
    RoutingTable,
    WeightedPool,
)
from hemlockdock_core.settings import parse_settings
from hemlockdock_core.settings.member_address import MemberAddress
from hemlockdock_core.stream_origins import StreamOrigin
from hemlockdock_entry.gateway.origin_lookup import LOOKUP_TIMEOUT_S, OriginLookup
from hemlockdock_entry.gateway.request_times import RequestTimes
from hemlockdock_entry.gateway.stream_binding import StreamBinding

CONTROL_SETTINGS = (
    "[process]\nnode_id = c\nroles = control\nhost = h\nfailure_domain = d\ndata_folder = .\n"
    "[control]\nmembers = c@tcp://127.0.0.1:1@tcp://127.0.0.1:2\n"
)
SETTINGS = parse_settings(CONTROL_SETTINGS, "stream_world")
WALL_START_MS = 1_700_000_000_000
MS_PER_S = 1_000
POOL = "lm"
OTHER_POOL = "lm-other"
OLD = "v1"
NEW = "v2"
OTHER = "v9"
TIMEOUT_MS = 12_000
SHORT_TIMEOUT_MS = 3_000
LONG_TIMEOUT_MS = 40_000


class Member:
    """One control member: the replicated state, and the origins in its process's memory.

    Parameters
    ----------
    world : World
    number : int
    """

    def __init__(self, world, number):
        self._world = world
        self.address = MemberAddress(f"c{number}", f"tcp://127.0.1.{number}:1", "")
        self.has_lease = False
        self.machine = ClusterStateMachine(SETTINGS)
        self._start()

    def apply(self, index, data):
        """Apply a log entry."""
        self.machine.apply(index, data)

    def restart(self):
        """Start the process again from a snapshot, with empty memory."""
        snapshot = self.machine.snapshot()
        index = self.machine.state.index
        self.machine = ClusterStateMachine(SETTINGS)
        self.machine.restore(index, snapshot)
        self._start()

    def _start(self):
        self.origins = self._world.open_origins(self)


class World:
    """A control cluster, a routing table, and what is on its way from entries to members.

    Parameters
    ----------
    member_count : int

    Attributes
    ----------
    clock : Clock
    members : list of Member
    in_flight : list of (str, Message)
    table : RoutingTable
    """

    def __init__(self, member_count):
        self.clock = Clock()
        self._index = 0
        self.in_flight = []
        self.table = RoutingTable()
        self.members = [Member(self, number) for number in range(member_count)]
        self.members[0].has_lease = True
        self._number = 0
        self.submit_route(POOL, TIMEOUT_MS)
        self.put_endpoint("x", POOL, OLD)
        self.put_endpoint("w", OTHER_POOL, OTHER)
        # All that the members' histories must cover lies after this.
        self.clock.advance(1_000.0)

    @property
    def now_ms(self):
        """Return the wall-clock time, in milliseconds."""
        return WALL_START_MS + int(self.clock.seconds() * MS_PER_S)

    def open_origins(self, member):
        """Return the StreamOrigins of a process that has just started."""
        return StreamOrigins(member, member.machine, self.clock, lambda: self.now_ms)

    def submit_route(self, pool, timeout_ms):
        """Have the operator's route lead to a pool."""
        self._number += 1
        row = RouteRow(
            "live",
            "shop",
            "/live/",
            RouteKind.STREAM,
            timeout_ms,
            500,
            1,
            (WeightedPool(pool, 1.0),),
            2,
            False,
            True,
            200,
        )
        pools = (PoolRow(POOL, "/", 10), PoolRow(OTHER_POOL, "/", 10))
        manifest = RouteManifest(LimitsRow(self._number, 1, 1, 1, 1), (row,), pools)
        self._commit(SubmitRoutes(manifest, b"", "operator", self.now_ms))
        self.table.put(row)

    def put_endpoint(self, endpoint_id, pool, version):
        """Add an endpoint."""
        row = EndpointRow(endpoint_id, pool, "127.0.0.1:1", "d", 8, False, software_version=version)
        self._commit(RecordEndpoints((row,), (), self.now_ms))
        self.table.put(row)

    def delete_endpoint(self, endpoint_id):
        """Remove an endpoint."""
        self._commit(RecordEndpoints((), (endpoint_id,), self.now_ms))
        self.table.delete(f"endpoint/{endpoint_id}")

    def move_lease(self):
        """Make the next member the leader."""
        leader = next(number for number, item in enumerate(self.members) if item.has_lease)
        self.members[leader].has_lease = False
        self.members[(leader + 1) % len(self.members)].has_lease = True

    def wait(self, seconds):
        """Let time pass."""
        self.clock.advance(seconds)

    def deliver_records(self, addresses=None):
        """Deliver what entries recorded, to some members or to all."""
        in_flight, self.in_flight = self.in_flight, []
        for address, message in in_flight:
            if isinstance(message, StreamStarted) and (addresses is None or address in addresses):
                self.member_at(address).origins.record(message)

    def _commit(self, command):
        self._index += 1
        for member in self.members:
            member.apply(self._index, encode_command(command))

    def member_at(self, address):
        """Return the member with an address of its mailbox."""
        return next(item for item in self.members if item.address.node_address == address)


class Entry:
    """One entry process, as far as it binds streams to software versions.

    Parameters
    ----------
    world : World
    """

    def __init__(self, world):
        self._world = world
        self.headers = SimpleNamespace(last_event_id=b"last-event-id")
        self.origin_lookup = OriginLookup(world.clock, "entry", self._send)

    @property
    def origin_members(self):
        """Return the addresses of control's members."""
        return [member.address for member in self._world.members]

    @property
    def table(self):
        """Return the RoutingTable."""
        return self._world.table

    def handle(self, request):
        """Process a client's request; return the Exchange."""
        return Exchange(self._world, self, request)

    def _send(self, address, message):
        if isinstance(message, FindStreamOrigin):
            member = self._world.member_at(address)
            reply = member.origins.reply_to(message)
            self._world.clock.callLater(
                0, self.origin_lookup.on_reply, member.address.member_id, reply
            )
            return
        self._world.in_flight.append((address, message))


class Exchange:
    """What a StreamBinding needs of one request.

    Parameters
    ----------
    world : World
    entry : Entry
    request : ClientRequest

    Attributes
    ----------
    origin : StreamOrigin or None
        Pool and version at which the request runs; None if it was refused.
    """

    def __init__(self, world, entry, request):
        self._world = world
        self.ended = False
        self.origin = None
        self.route = world.table.route_by_name["live"]
        self.request = request
        self.content = request
        time_left = b"" if request.left_ms is None else b"%d" % request.left_ms
        self.times = RequestTimes.of(self.route, self.now_s(), time_left)
        self.binding = StreamBinding(entry, self)
        if not self.binding.is_resumption:
            self._run(self.route.pools[0].pool, None)
            return
        self.binding.find(self._continue)
        world.clock.advance(0)
        world.clock.advance(LOOKUP_TIMEOUT_S)

    @property
    def client_left_ms(self):
        """Return the time that the client says it waits; None if it does not."""
        return self.times.client_left_ms

    def now_s(self):
        """Return the time, in seconds."""
        return self._world.clock.seconds()

    def refuse(self, _):
        """Note that the request was refused."""
        self.ended = True

    def refuse_continuation(self):
        """Note that the request was refused as its stream can't continue."""
        self.refuse(None)

    def _continue(self):
        self._run(self.binding.origin.pool, self.binding.origin.software_version)

    def _run(self, pool, version):
        for row in self._world.table.endpoint_by_id.values():
            if row.pool == pool and version in (None, row.software_version):
                self.origin = StreamOrigin(row.pool, row.software_version)
                self.binding.start(self.origin)
                return
        self.refuse(None)
