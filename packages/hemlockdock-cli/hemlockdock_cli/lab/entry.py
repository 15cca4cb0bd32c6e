"""Simulate an entry: requests that wait, are served or refused, and return once."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from hemlockdock_cli.lab.control import SLOTS
from hemlockdock_cli.lab.scenario import POOL
from hemlockdock_core.messages import ModelDemand
from hemlockdock_core.settings.sections import FleetSection
from hemlockdock_entry.gateway.model_availability import ModelAvailability
from hemlockdock_entry.gateway.patience import Patience, may_wait, retry_after_ms

MS_PER_S = 1_000.0
FIRST_EVENT_S = 0.055
MAX_WAIT_MS = 60_000


@dataclass(slots=True)
class ClassResult:
    """Outcome of the requests of one class.

    Attributes
    ----------
    asked, in_time, late, refused : int
    wait_ms : HdrHistogram
        Time from the first arrival of a request to the first event of its answer.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    wait_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_WAIT_MS, 2))


class SimulatedEntry:
    """Simulate one entry that takes all requests.

    Parameters
    ----------
    scenario : Scenario
    control : SimulatedControl
    engine_by_name : dict of str to SimulatedEngine
        Engines that run, updated by the simulation.
    events : EventQueue

    Attributes
    ----------
    result_by_class : dict of str to ClassResult
    """

    def __init__(self, scenario, control, engine_by_name, events):
        self.result_by_class = {traffic.name: ClassResult() for traffic in scenario.classes}
        self._scenario = scenario
        self._pool = scenario.pool
        self._control = control
        self._engine_by_name = engine_by_name
        self._events = events
        self._fleet_settings = FleetSection()
        self._waiting_by_model = {}
        self._retry_times_by_model = {}
        self._supply = ModelAvailability()
        self._arrivals_by_model = {}

    @property
    def is_idle(self):
        """Tell whether no request waits."""
        return not any(self._waiting_by_model.values())

    def update(self, rows):
        """Learn what is recorded of the endpoints, and serve or refuse what waits.

        Parameters
        ----------
        rows : iterable of EndpointRow
        """
        self._supply.update(rows, self._events.now_s)
        self.serve_all()

    def serve_all(self):
        """Serve or refuse the waiting requests of all models."""
        for model in list(self._waiting_by_model):
            self._serve(model)

    def report_all(self):
        """Report the demand for all models, as to a new leader."""
        for model in self._arrivals_by_model:
            self._report(model)

    def receive(self, request):
        """Receive an attempt of a request.

        Parameters
        ----------
        request : SimulatedRequest
        """
        request.last_arrival_s = self._events.now_s
        if not request.refusals:
            arrivals = self._arrivals_by_model.get(request.model, 0)
            self._arrivals_by_model[request.model] = arrivals + 1
        self._waiting_by_model.setdefault(request.model, []).append(request)
        self._serve(request.model)

    def _serve(self, model):
        waiting = self._waiting_by_model.get(model, [])
        still_waiting = []
        for request in waiting:
            engine = self._least_loaded_engine(model)
            if engine is not None:
                self._start_request(request, engine)
            elif self._may_wait(request):
                still_waiting.append(request)
            else:
                self._refuse_or_retry(request)
        self._waiting_by_model[model] = still_waiting
        self._report(model)

    def _least_loaded_engine(self, model):
        best = None
        for engine in self._engine_by_name.values():
            if not engine.holds(model, self._events.now_s):
                continue
            if sum(engine.runs_by_model.values()) >= SLOTS:
                continue
            if model in self._control.withheld(engine.name):
                continue
            if best is None or sum(engine.runs_by_model.values()) < best[0]:
                best = sum(engine.runs_by_model.values()), engine
        return None if best is None else best[1]

    def _start_request(self, request, engine):
        traffic = request.traffic
        request.is_answered = True
        first_s = self._events.now_s + FIRST_EVENT_S - request.first_arrival_s
        result = self.result_by_class[traffic.name]
        result.wait_ms.record_value(max(1, min(MAX_WAIT_MS, round(first_s * MS_PER_S))))
        if first_s * MS_PER_S <= traffic.target_ms:
            result.in_time += 1
        else:
            result.late += 1
        engine.runs_by_model[request.model] = engine.runs_by_model.get(request.model, 0) + 1
        size_ratio = self._scenario.size_mb(request.model) / max(self._scenario.model_sizes_mb)
        request_s = FIRST_EVENT_S + request.tokens * self._scenario.token_ms * size_ratio / MS_PER_S
        self._events.schedule(
            self._events.now_s + request_s, self._on_request_end, request.model, engine
        )

    def _on_request_end(self, model, engine):
        engine.runs_by_model[model] -= 1
        self._report(model)

    def _model_ready_s(self, model):
        return self._supply.ready_s(self._pool, model, self._events.now_s)

    def _deadline_s(self, request):
        return request.first_arrival_s + request.traffic.deadline_ms / MS_PER_S

    def _may_wait(self, request):
        patience = Patience.of(
            request.traffic.route,
            self._fleet_settings,
            request.last_arrival_s,
            self._deadline_s(request),
        )
        least_s = self._supply.least_s(self._pool, request.model)
        return may_wait(patience, self._model_ready_s(request.model), self._events.now_s, least_s)

    def _refuse_or_retry(self, request):
        # A request is retried once; a second refusal counts.
        if request.refusals:
            self.result_by_class[request.traffic.name].refused += 1
            return
        request.refusals += 1
        after_ms = retry_after_ms(
            self._deadline_s(request),
            self._model_ready_s(request.model),
            self._events.now_s,
            self._supply.least_s(self._pool, request.model),
        )
        retry_s = self._events.now_s + after_ms / MS_PER_S
        self._retry_times_by_model.setdefault(request.model, []).append(retry_s)
        self._events.schedule(retry_s, self.receive, request)

    def _pending_retries(self, model):
        retry_times = [
            at_s for at_s in self._retry_times_by_model.get(model, []) if at_s > self._events.now_s
        ]
        self._retry_times_by_model[model] = retry_times
        return len(retry_times)

    def _report(self, model):
        waiting = self._waiting_by_model.get(model, [])
        slack_s = []
        for request in waiting:
            target_s = request.first_arrival_s + request.traffic.target_ms / MS_PER_S
            if target_s > self._events.now_s:
                slack_s.append(target_s - self._events.now_s)
        in_flight = sum(
            engine.runs_by_model.get(model, 0) for engine in self._engine_by_name.values()
        )
        demand = ModelDemand(
            POOL,
            model,
            self._arrivals_by_model.get(model, 0),
            len(waiting),
            in_flight,
            len(slack_s),
            round(min(slack_s) * MS_PER_S) if slack_s else 0,
            min((request.traffic.urgency for request in waiting), default=0),
            self._pending_retries(model),
        )
        self._control.record_demand(demand, self._events.now_s)
