"""Play traffic through several entries to engines that name a limit of requests per second."""

import random
from dataclasses import dataclass, field

from benchmarks.crash_network import ClientTransport, Network
from benchmarks.limit_control import LimitControl, Link, endpoint_row
from benchmarks.limit_network import EntryReactor, LimitedEngine
from hemlockdock_core.rows import (
    EngineSpec,
    LimitsRow,
    ModelSpec,
    PoolRow,
    ResidentModel,
    RouteKind,
    RouteRow,
    WeightedPool,
)
from hemlockdock_core.settings import parse_settings
from hemlockdock_core.wire import own
from hemlockdock_entry.gateway.client_connection import ClientConnection
from hemlockdock_entry.gateway.gateway import Gateway

ENTRY_SETTINGS = (
    "[process]\nnode_id = entry-{number}\nroles = entry\nhost = h\nfailure_domain = d\n"
    "[listen]\nlinks = tcp://127.0.0.1:1\nready = 127.0.0.1:2\n"
    "[fleet]\nseeds = 127.0.0.9:1\nretry_slack = 56\n"
)
TICK_S = 0.005
MAINTENANCE_S = 0.5
QUEUE_CHECK_S = 0.1
WARM_UP_S = 4.0
WINDOW_S = 4.0
# The users judge an endpoint from this time after it named its limit.
SETTLE_S = 3.0
DRAIN_S = 6.0
FREEZE_S = 3.0
AT_ONCE_S = 0.1
STREAM_PREFIX = "/live/"
PLAIN_PREFIX = "/read/"


@dataclass(frozen=True, slots=True)
class LimitScenario:
    """What is played.

    Attributes
    ----------
    entries : int
    per_s : float
        Limit that engines name from ``WARM_UP_S`` on.
    engines, limited : int
        Number of engines, and of those that name the limit.
    load : float
        Requests per second, as a multiple of ``limited * per_s``.
    uneven : bool
        Whether all requests come to one entry.
    streams : bool
        Whether they are streams of a model, which wait in a queue, or plain requests.
    play_s : float
        Time that is played after the limit was named.
    event : str
        What happens in the middle: ``freeze`` (an entry), ``leader``, ``cut`` (one entry),
        ``no_control`` (all entries), ``lift``, or nothing.
    """

    entries: int
    per_s: float
    engines: int = 1
    limited: int = 1
    load: float = 3.0
    uneven: bool = False
    streams: bool = False
    play_s: float = 24.0
    event: str = ""


@dataclass(slots=True)
class LimitResult:
    """What a play showed.

    Attributes
    ----------
    most_in_window : int
        Most requests that a limited engine got in any window.
    used : float
        Share of the limits that was used.
    answered, refused : int
    slowest_refusal_s : float
    late_refusals : int
        Refusals that did not come at once.
    without_time : int
        Refusals that don't say when to return.
    """

    most_in_window: int = 0
    used: float = 0.0
    answered: int = 0
    refused: int = 0
    slowest_refusal_s: float = 0.0
    late_refusals: int = 0
    without_time: int = 0


@dataclass(slots=True)
class PlayedRequest:
    """A request of a client.

    Attributes
    ----------
    sent_s : float
    transport : ClientTransport
    ended_s : float or None
    """

    sent_s: float
    transport: ClientTransport
    ended_s: float | None = field(default=None)


class LimitRounds:
    """Entries, engines, clients and control on virtual time.

    Parameters
    ----------
    seed : int
    scenario : LimitScenario
    """

    def __init__(self, seed, scenario):
        self._random = random.Random(seed)
        self._scenario = scenario
        self._network = Network()
        self._control = LimitControl(self._network)
        self._engines = [LimitedEngine(self._network, n + 1) for n in range(scenario.engines)]
        self._reactors = []
        self._gateways = []
        self._requests = []
        self._open = []
        for number in range(scenario.entries):
            self._add_entry(number)
        self._publish()

    def play(self):
        """Play the scenario.

        Returns
        -------
        LimitResult
        """
        scenario = self._scenario
        end_s = WARM_UP_S + scenario.play_s
        rate_per_s = scenario.load * scenario.limited * scenario.per_s
        events = [
            (WARM_UP_S, self._name_limits),
            (WARM_UP_S + scenario.play_s / 2, self._happen),
        ]
        next_request_s = 0.0
        next_maintenance_s = 0.0
        next_check_s = 0.0
        while self._network.seconds() < end_s + DRAIN_S:
            now_s = self._network.seconds()
            while events and now_s >= events[0][0]:
                events.pop(0)[1]()
            while now_s >= next_request_s and now_s < end_s:
                self._send(now_s)
                next_request_s += self._random.expovariate(rate_per_s)
            if now_s >= next_maintenance_s:
                next_maintenance_s += MAINTENANCE_S
                self._each_entry("run_maintenance")
            if now_s >= next_check_s:
                next_check_s += QUEUE_CHECK_S
                self._each_entry("check_waiting")
            self._network.advance(TICK_S)
            self._note_ended()
        return self._result()

    def _add_entry(self, number):
        reactor = EntryReactor(self._network)
        link = Link(self._control, f"entry-{number}", reactor)
        settings = parse_settings(ENTRY_SETTINGS.format(number=number), "entry")
        gateway = Gateway(reactor, settings, own.WIRE, _drop, self._random)
        link.gateway = gateway
        gateway.attach_link(link)
        self._control.links.append(link)
        self._reactors.append(reactor)
        self._gateways.append(gateway)

    def _publish(self):
        models = (ModelSpec("m", 10.0, 4, 1.0, 6_000, 300, 500),)
        engine_spec = EngineSpec(32, 90_000, 1, 80.0, 4, 0.0, 0.0, 1.0, models)
        streams = self._scenario.streams
        rows = [
            LimitsRow(1, 16_384, 4_194_304, 3_000, 15_000),
            PoolRow("lm", "/", 240, engine_spec if streams else None),
            _route("live", STREAM_PREFIX, RouteKind.STREAM),
            _route("read", PLAIN_PREFIX, RouteKind.IDEMPOTENT),
        ]
        models = (ResidentModel("m", 1),) if streams else ()
        for engine in self._engines:
            row = endpoint_row(engine, "lm", models)
            self._control.list_endpoint(row)
            rows.append(row)
        for link in self._control.links:
            link.receive_rows(rows)

    def _name_limits(self):
        for engine in self._engines[: self._scenario.limited]:
            engine.per_s = self._scenario.per_s

    def _happen(self):
        event = self._scenario.event
        if event == "freeze":
            self._reactors[0].frozen_until_s = self._network.seconds() + FREEZE_S
        elif event == "leader":
            self._control.change_leader()
        elif event == "cut":
            self._control.links[0].in_touch = False
        elif event == "no_control":
            for link in self._control.links:
                link.in_touch = False
        elif event == "lift":
            for engine in self._engines:
                engine.per_s = None

    def _each_entry(self, task):
        for reactor, gateway in zip(self._reactors, self._gateways, strict=True):
            work = gateway.model_queue.check_waiting
            if task == "run_maintenance":
                work = gateway.run_maintenance
            reactor.callLater(0, work)

    def _send(self, now_s):
        gateway = self._gateways[0] if self._scenario.uneven else None
        if gateway is None:
            gateway = self._random.choice(self._gateways)
        connection = ClientConnection(gateway)
        transport = ClientTransport()
        connection.makeConnection(transport)
        request = PlayedRequest(now_s, transport)
        self._requests.append(request)
        self._open.append(request)
        prefix = STREAM_PREFIX if self._scenario.streams else PLAIN_PREFIX
        number = len(self._requests)
        connection.dataReceived(
            b"POST %b%d HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\nX-Time-Left-Ms: 12000\r\n"
            b"X-Use-Model: m\r\n\r\n" % (prefix.encode(), number, number)
        )

    def _note_ended(self):
        now_s = self._network.seconds()
        still_open = []
        for request in self._open:
            if not request.transport.value():
                still_open.append(request)
                continue
            request.ended_s = now_s
        self._open = still_open

    def _result(self):
        result = LimitResult()
        scenario = self._scenario
        begin_s = WARM_UP_S + SETTLE_S
        end_s = WARM_UP_S + scenario.play_s
        judged_until_s = end_s - scenario.play_s / 2 if scenario.event == "lift" else end_s
        used = 0
        for engine in self._engines[: scenario.limited]:
            arrivals_s = [at_s for at_s in engine.arrivals_s if begin_s <= at_s < judged_until_s]
            used += len(arrivals_s)
            result.most_in_window = max(result.most_in_window, _most_in_window(arrivals_s))
        allowed = scenario.limited * scenario.per_s * (judged_until_s - begin_s)
        result.used = used / allowed
        for request in self._requests:
            if not begin_s <= request.sent_s < end_s:
                continue
            if request.ended_s is None or b" 200 " in request.transport.value()[:20]:
                result.answered += request.ended_s is not None
                continue
            result.refused += 1
            result.without_time += b"Retry-After: " not in request.transport.value()
            held_s = request.ended_s - request.sent_s
            result.late_refusals += held_s > AT_ONCE_S
            result.slowest_refusal_s = max(result.slowest_refusal_s, held_s)
        return result


def _most_in_window(arrivals_s):
    most = 0
    for position, begin_s in enumerate(arrivals_s):
        inside = [at_s for at_s in arrivals_s[position:] if at_s < begin_s + WINDOW_S]
        most = max(most, len(inside))
    return most


def _route(name, prefix, kind):
    pools = (WeightedPool("lm", 1.0),)
    return RouteRow(name, "h", prefix, kind, 12_000, 500, 1, pools, 2, False, True, 200)


def _drop(address, message):
    """Take the place of messages to agents."""
