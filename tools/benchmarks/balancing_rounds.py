"""Play requests through many entries to endpoints of uneven speed, with reports that are old."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from hemlockdock_control.fleet.load_summaries import LoadSummaries
from hemlockdock_control.fleet.registry import AgentReport, EndpointRegistry
from hemlockdock_core.messages import (
    SUMMARY_INTERVAL_S,
    EndpointLoad,
    EndpointReport,
    LoadSummary,
    load_key,
)
from hemlockdock_core.rows import EndpointRow, EngineSpec, PoolRow
from hemlockdock_core.settings.sections import FleetSection
from hemlockdock_core.wire import EngineReport, ListedEndpoint
from hemlockdock_entry.balancing import LoadBalancer, LoadView
from hemlockdock_entry.gateway.endpoint_health import EndpointHealthTracker
from hemlockdock_entry.gateway.model_queue import MAX_SLOT_SHARE

POOL = "lm"
DOMAIN = "d"
SPEEDS = (0.6, 1.0, 1.6)
EVENTS_PER_S = 25.0
# Events of a request, as two of three and one of three requests have them.
EVENTS = (35, 35, 6)
FIRST_EVENT_S = 0.1
MS_PER_S = 1_000
QUEUE_CHECK_S = 0.1


@dataclass(frozen=True, slots=True)
class BalancingScenario:
    """Entries, endpoints and load of one play.

    Attributes
    ----------
    entries, endpoints : int
    age_s : float
        Age of a report as it arrives; the next one arrives ``SUMMARY_INTERVAL_S`` later.
    slots : int
    load : float
        As a share of the endpoints' capacity.
    play_s, warm_up_s : float
    models : int
        Each request is for one of so many models. An endpoint has two of them, or the only one.
    is_limited : bool
        Whether reports reach entries by summaries of limited size, as the leader sends them,
        instead of all at once.
    """

    entries: int
    endpoints: int
    age_s: float
    slots: int = 32
    load: float = 0.8
    play_s: float = 20.0
    warm_up_s: float = 6.0
    models: int = 1
    is_limited: bool = False


@dataclass(slots=True)
class BalancingResult:
    """What was observed after the first seconds.

    Attributes
    ----------
    unevenness : float
        Work sent to the busiest endpoint over the mean, both divided by speed.
    peak : float
        Requests per slot at the fullest endpoint over the mean, averaged over time.
    wait_s : float
        Mean time for which a request waited for a slot, at its entry or at an engine.
    """

    unevenness: float
    peak: float
    wait_s: float


@dataclass(slots=True)
class Engine:
    """An engine that runs as many requests as it has slots, all at its speed.

    Attributes
    ----------
    row : EndpointRow
    speed : float
    sent_work : float
    running : int
    waiting : deque of Request
    """

    row: EndpointRow
    speed: float
    sent_work: float = 0.0
    running: int = 0
    waiting: deque = field(default_factory=deque)

    @property
    def requests(self):
        """Return the number of running and waiting requests."""
        return self.running + len(self.waiting)


@dataclass(slots=True)
class Request:
    """A request.

    Attributes
    ----------
    entry : Entry
    model, events : int
    arrived_s : float
    sent_s : float
    """

    entry: object
    model: int
    events: int
    arrived_s: float
    sent_s: float = 0.0


class Entry:
    """The balancing objects of one entry, and its waiting requests.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng):
        self.health = EndpointHealthTracker(DOMAIN, rng)
        self.view = LoadView()
        self.balancer = LoadBalancer(self.view, self.health)
        self.waiting_by_model = {}


class BalancingRounds:
    """Play one scenario with one policy.

    Parameters
    ----------
    seed : int
    scenario : BalancingScenario
    policy : str
        ``reports`` (load summaries), ``health_tracker`` (``EndpointHealthTracker``),
        ``least_outstanding`` (requests of the entry itself) or ``ideal`` (least requests now).
    """

    def __init__(self, seed, scenario, policy):
        self._rng = random.Random(seed)
        self._scenario = scenario
        self._policy = policy
        self._entries = [Entry(self._rng) for _ in range(scenario.entries)]
        self._engines = []
        for number in range(scenario.endpoints):
            row = EndpointRow(f"i-{number:010x}", POOL, "a:1", DOMAIN, scenario.slots, False, ())
            self._engines.append(Engine(row, SPEEDS[number % len(SPEEDS)]))
        self._engine_by_id = {engine.row.endpoint_id: engine for engine in self._engines}
        self._rows = [engine.row for engine in self._engines]
        self._engines_by_model = [self._engines_with(number) for number in range(scenario.models)]
        spec = EngineSpec(scenario.slots, 1_000, 1, 1.0, 1, 0.0, 0.0, 1.0, ())
        self._pool_by_name = {POOL: PoolRow(POOL, "/", 0, spec)}
        self._choose = getattr(self, f"_choose_by_{policy}")
        self._cap = max(2, int(scenario.slots * MAX_SLOT_SHARE))
        self._events = []
        self._order = itertools.count()
        self._registry = EndpointRegistry()
        self._summaries = LoadSummaries(FleetSection(share_load="always"))
        self._registry.set_directory([_listed(row) for row in self._rows])
        self._peaks = []
        self._waits_s = []
        self._now_s = 0.0

    def play(self):
        """Play the scenario.

        Returns
        -------
        BalancingResult
        """
        self._at(0.0, self._arrive)
        self._at(self._scenario.warm_up_s, self._sample)
        if self._policy == "reports":
            self._at(0.0, self._report)
        self._at(QUEUE_CHECK_S, self._check_waiting)
        end_s = self._scenario.warm_up_s + self._scenario.play_s
        while self._events[0][0] <= end_s:
            self._now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        loads = [engine.sent_work / engine.speed for engine in self._engines]
        return BalancingResult(
            max(loads) * len(loads) / sum(loads),
            sum(self._peaks) / len(self._peaks),
            sum(self._waits_s) / len(self._waits_s),
        )

    def _engines_with(self, model):
        count = len(self._engines)
        models = self._scenario.models
        if models == 1:
            return self._engines
        first = model * count // models
        numbers = range(first, first + 2 * count // models)
        return [self._engines[number % count] for number in numbers]

    def _at(self, at_s, call, *arguments):
        heapq.heappush(self._events, (at_s, next(self._order), call, arguments))

    def _arrive(self):
        capacity = sum(engine.speed for engine in self._engines) * self._scenario.slots
        per_s = self._scenario.load * capacity * EVENTS_PER_S * len(EVENTS) / sum(EVENTS)
        self._at(self._now_s + self._rng.expovariate(per_s), self._arrive)
        entry = self._rng.choice(self._entries)
        model = self._rng.randrange(self._scenario.models)
        request = Request(entry, model, self._rng.choice(EVENTS), self._now_s)
        entry.waiting_by_model.setdefault(model, deque()).append(request)
        self._dispatch(entry, model)

    def _dispatch(self, entry, model):
        waiting = entry.waiting_by_model.get(model)
        while waiting:
            row = self._choose(entry, self._engines_by_model[model])
            if row is None:
                return
            request = waiting.popleft()
            request.sent_s = self._now_s
            entry.health.for_endpoint(row.endpoint_id).in_flight += 1
            entry.view.record_sent(row.endpoint_id, self._now_s)
            engine = self._engine_by_id[row.endpoint_id]
            if self._now_s >= self._scenario.warm_up_s:
                engine.sent_work += request.events
            engine.waiting.append(request)
            self._run_next(engine)

    def _run_next(self, engine):
        if not engine.waiting or engine.running >= self._scenario.slots:
            return
        request = engine.waiting.popleft()
        engine.running += 1
        if self._now_s >= self._scenario.warm_up_s:
            self._waits_s.append(self._now_s - request.arrived_s)
        first_s = FIRST_EVENT_S / engine.speed
        latency_s = self._now_s + first_s - request.sent_s
        run_s = request.events / EVENTS_PER_S / engine.speed
        self._at(self._now_s + run_s, self._end, engine, request, latency_s)

    def _end(self, engine, request, latency_s):
        engine.running -= 1
        entry = request.entry
        health = entry.health.for_endpoint(engine.row.endpoint_id)
        health.in_flight -= 1
        health.record_response(latency_s)
        entry.view.record_ended(engine.row, request.sent_s, self._now_s)
        self._run_next(engine)
        self._dispatch(entry, request.model)

    def _report(self):
        self._at(self._now_s + SUMMARY_INTERVAL_S, self._report)
        bodies = [_report_of(engine) for engine in self._engines]
        self._at(self._now_s + self._scenario.age_s, self._deliver_reports, bodies, self._now_s)

    def _deliver_reports(self, bodies, made_s):
        for body in bodies:
            self._registry.record_report(AgentReport("tcp://a:1", 1, body, made_s))
        if self._scenario.is_limited:
            self._deliver(self._summaries.next_summary(self._registry, self._now_s))
            return
        age_ms = round(self._scenario.age_s * MS_PER_S)
        loads = []
        for body in bodies:
            report = body.report
            key = load_key(body.engine_address)
            speed_milli = round(body.speed * MS_PER_S)
            loads.append(EndpointLoad(key, report.running, report.waiting, 0, speed_milli, age_ms))
        self._deliver(LoadSummary(tuple(loads)))

    def _deliver(self, summary):
        for entry in self._entries:
            entry.view.record(summary, self._rows, self._pool_by_name, self._now_s)

    def _check_waiting(self):
        self._at(self._now_s + QUEUE_CHECK_S, self._check_waiting)
        for entry in self._entries:
            for model in entry.waiting_by_model:
                self._dispatch(entry, model)

    def _sample(self):
        self._at(self._now_s + QUEUE_CHECK_S, self._sample)
        requests = [engine.requests for engine in self._engines]
        self._peaks.append(max(requests) * len(requests) / max(1, sum(requests)))

    def _choose_by_reports(self, entry, engines):
        has_room = entry.balancer.has_room
        rows = [e.row for e in engines if has_room(e.row, self._cap, self._now_s)]
        return entry.balancer.choose(rows, self._now_s)

    def _choose_by_health_tracker(self, entry, engines):
        return entry.health.choose(self._below_cap(entry, engines), self._now_s)

    def _choose_by_least_outstanding(self, entry, engines):
        rows = self._below_cap(entry, engines)
        if not rows:
            return None
        return min(rows, key=lambda row: (self._in_flight(entry, row), self._rng.random()))

    def _choose_by_ideal(self, entry, engines):
        return min(engines, key=lambda engine: (engine.requests, -engine.speed)).row

    def _below_cap(self, entry, engines):
        return [e.row for e in engines if self._in_flight(entry, e.row) < self._cap]

    def _in_flight(self, entry, row):
        return entry.health.for_endpoint(row.endpoint_id).in_flight


def _listed(row):
    return ListedEndpoint(row.endpoint_id, POOL, row.endpoint_id, DOMAIN, row.slots, False, (), "")


def _report_of(engine):
    nothing = frozenset()
    report = EngineReport(
        1,
        0,
        False,
        False,
        None,
        (),
        nothing,
        nothing,
        nothing,
        len(engine.waiting),
        engine.running,
        0,
        1_000,
    )
    speed = engine.speed * EVENTS_PER_S
    return EndpointReport(POOL, engine.row.endpoint_id, report, 0, False, 0, speed=speed)
