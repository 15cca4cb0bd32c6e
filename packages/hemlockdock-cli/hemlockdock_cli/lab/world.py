"""Play a load against engines and placement, in virtual time."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from hemlockdock_cli.lab.engine import LabEngine
from hemlockdock_cli.lab.scenario import POOL, draw_requests
from hemlockdock_cli.lab.store import LabStore
from hemlockdock_control.fleet.demand import DemandBoard
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.registry import AgentReport, EndpointRegistry
from hemlockdock_core.messages import ChangeModels, DemandReport, ModelDemand
from hemlockdock_core.settings.sections import FleetSection
from hemlockdock_core.wire import ListedEndpoint
from hemlockdock_entry.gateway.model_supply import ModelSupply
from hemlockdock_entry.gateway.patience import Patience, may_wait, return_after_ms

MS_PER_S = 1_000.0
DECIDE_S = 0.04
# Ways between entry, control and agent, and the commit between them.
NOTICE_S = 0.03
FIRST_EVENT_S = 0.055
# Before the first request, as on a platform that starts.
LEAD_S = 8.0
LONGEST_MS = 60_000
SLOTS = 32


@dataclass(slots=True)
class ClassResult:
    """Hold what became of one class of requests.

    Attributes
    ----------
    asked, in_time, late, refused : int
    wait_ms : HdrHistogram
        To the first event, from when a request first came.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    wait_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST_MS, 2))


class LabWorld:
    """Play one seed of a scenario under one policy.

    Parameters
    ----------
    scenario : Scenario
    choice_type : type
    seed : int
    length_s : float

    Attributes
    ----------
    result_by_class : dict of str to ClassResult
    """

    def __init__(self, scenario, choice_type, seed, length_s):
        self.result_by_class = {c.name: ClassResult() for c in scenario.classes}
        self._scenario = scenario
        self._store = LabStore(scenario.store_at_once)
        self._pool = scenario.pool
        self._length_s = length_s
        self._now_s = -LEAD_S
        self._events = []
        self._order = itertools.count()
        self._fleet = FleetSection()
        self._placement = Placement(choice_type)
        self._registry = EndpointRegistry()
        self._board = DemandBoard()
        self._engine_by_name = {}
        self._waiting_by_model = {}
        self._return_s_by_model = {}
        self._supply = ModelSupply()
        self._arrivals_by_model = {}
        self._build(random.Random(seed))
        for request in draw_requests(scenario, seed, length_s):
            self.result_by_class[request.traffic.name].asked += 1
            self._at(request.at_s, self._came, request)

    @property
    def store_loads(self):
        """Return how many loads the weight store began."""
        return self._store.begun

    def run(self):
        """Play everything.

        Returns
        -------
        LabWorld
        """
        self._at(self._now_s, self._decide)
        for at_s in self._scenario.lost_at_s:
            self._at(at_s, self._lose_engine)
        while self._events:
            self._now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def _build(self, source):
        models = self._scenario.models
        names = [f"e{number}" for number in range(self._scenario.engines)]
        disk_by_name = {name: [] for name in names}
        on_host = round(len(models) * self._scenario.models_on_disk)
        for model in models[:on_host]:
            for name in source.sample(names, self._scenario.copies_on_disk):
                disk_by_name[name].append(model)
        for position, name in enumerate(names):
            resident = []
            room_mb = self._scenario.weights_mb
            for model in [models[position % self._scenario.busy_models], *disk_by_name[name]]:
                if model not in resident and self._scenario.size_mb(model) <= room_mb:
                    resident.append(model)
                    room_mb -= self._scenario.size_mb(model)
            engine = LabEngine(self._scenario, name, resident, disk_by_name[name])
            self._engine_by_name[name] = engine
        self._list_engines()

    def _list_engines(self):
        self._registry.take_directory(
            [
                ListedEndpoint(name, POOL, name, "d", SLOTS, False, ())
                for name in self._engine_by_name
            ]
        )

    def _lose_engine(self):
        name = next(iter(self._engine_by_name))
        del self._engine_by_name[name]
        self._engine_by_name[name + "+"] = LabEngine(self._scenario, name + "+")
        self._list_engines()

    def _at(self, at_s, call, *arguments):
        heapq.heappush(self._events, (at_s, next(self._order), call, arguments))

    def _decide(self):
        for engine in self._engine_by_name.values():
            report = AgentReport(engine.name, 1, engine.report(), self._now_s)
            self._registry.take_report(report)
        rows = self._registry.rows(self._now_s, self._placement)
        letters = self._placement.decide(
            [self._pool], rows, self._registry, self._board, self._now_s, 1
        )
        for letter in letters:
            engine = self._engine_by_name.get(letter.agent_address)
            if engine is None:
                continue
            if not isinstance(letter.message, ChangeModels):
                engine.learn_facts(letter.message)
            elif engine.take_change(letter.message):
                self._at(self._now_s + NOTICE_S, self._advance, engine)
        rows = self._registry.rows(self._now_s, self._placement)
        self._supply.learn(rows.values(), self._now_s)
        for model in list(self._waiting_by_model):
            self._serve(model)
        # A refused request that comes back later is an event still to come.
        if self._now_s < self._length_s or any(self._waiting_by_model.values()) or self._events:
            self._at(self._now_s + DECIDE_S, self._decide)

    def _advance(self, engine):
        if not engine.unload_ready():
            self._at(self._now_s + DECIDE_S, self._advance, engine)
            return
        takes_s = engine.begin_load(self._store)
        self._at(self._now_s + takes_s, self._loaded, engine)

    def _loaded(self, engine):
        engine.end_load()
        self._at(self._now_s + NOTICE_S, self._serve_all)

    def _serve_all(self):
        for model in list(self._waiting_by_model):
            self._serve(model)

    def _came(self, request):
        request.came_s = self._now_s
        if not request.returns:
            arrived = self._arrivals_by_model.get(request.model, 0)
            self._arrivals_by_model[request.model] = arrived + 1
        self._waiting_by_model.setdefault(request.model, []).append(request)
        self._serve(request.model)

    def _serve(self, model):
        waiting = self._waiting_by_model.get(model, [])
        left = []
        for request in waiting:
            engine = self._engine_for(model)
            if engine is not None:
                self._start(request, engine)
            elif self._may_wait(request):
                left.append(request)
            else:
                self._refuse(request)
        self._waiting_by_model[model] = left
        self._tell(model)

    def _engine_for(self, model):
        best = None
        for engine in self._engine_by_name.values():
            if not engine.holds(model):
                continue
            if sum(engine.runs_by_model.values()) >= SLOTS:
                continue
            if model in self._placement.withheld(engine.name):
                continue
            if best is None or sum(engine.runs_by_model.values()) < best[0]:
                best = sum(engine.runs_by_model.values()), engine
        return None if best is None else best[1]

    def _start(self, request, engine):
        traffic = request.traffic
        first_s = self._now_s + FIRST_EVENT_S - request.at_s
        result = self.result_by_class[traffic.name]
        result.wait_ms.record_value(max(1, min(LONGEST_MS, round(first_s * MS_PER_S))))
        if first_s * MS_PER_S <= traffic.target_ms:
            result.in_time += 1
        else:
            result.late += 1
        engine.runs_by_model[request.model] = engine.runs_by_model.get(request.model, 0) + 1
        part = self._scenario.size_mb(request.model) / max(self._scenario.sizes_mb)
        takes_s = FIRST_EVENT_S + request.tokens * self._scenario.step_ms * part / MS_PER_S
        self._at(self._now_s + takes_s, self._ended, request.model, engine)

    def _ended(self, model, engine):
        engine.runs_by_model[model] -= 1
        self._tell(model)

    def _ready_s(self, model):
        for pending in self._placement.pending_by_id.values():
            if pending.message.load == model:
                return pending.ready_s
        return None

    def _deadline_s(self, request):
        return request.at_s + request.traffic.deadline_ms / MS_PER_S

    def _may_wait(self, request):
        patience = Patience.of(
            request.traffic.route, self._fleet, request.came_s, self._deadline_s(request)
        )
        least_s = self._supply.least_s(self._pool, request.model)
        return may_wait(patience, self._ready_s(request.model), self._now_s, least_s)

    def _refuse(self, request):
        if request.returns:
            self.result_by_class[request.traffic.name].refused += 1
            return
        request.returns += 1
        after_ms = return_after_ms(
            self._deadline_s(request),
            self._ready_s(request.model),
            self._now_s,
            self._supply.least_s(self._pool, request.model),
        )
        return_s = self._now_s + after_ms / MS_PER_S
        self._return_s_by_model.setdefault(request.model, []).append(return_s)
        self._at(return_s, self._came, request)

    def _returning(self, model):
        times = [at_s for at_s in self._return_s_by_model.get(model, []) if at_s > self._now_s]
        self._return_s_by_model[model] = times
        return len(times)

    def _tell(self, model):
        waiting = self._waiting_by_model.get(model, [])
        left = []
        for request in waiting:
            target_s = request.at_s + request.traffic.target_ms / MS_PER_S
            if target_s > self._now_s:
                left.append(target_s - self._now_s)
        in_flight = sum(e.runs_by_model.get(model, 0) for e in self._engine_by_name.values())
        demand = ModelDemand(
            POOL,
            model,
            self._arrivals_by_model.get(model, 0),
            len(waiting),
            in_flight,
            len(left),
            round(min(left) * MS_PER_S) if left else 0,
            min((request.traffic.urgency for request in waiting), default=0),
            self._returning(model),
        )
        self._board.take("entry", DemandReport((demand,)), self._now_s)
