"""Build engines, demand and reports for the tests of placement."""

import unittest

from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_control.fleet.engine_view import EngineView
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.placement_history import PlacementHistory
from hemlockdock_control.fleet.registry import (
    AgentReport,
    EndpointRegistry,
)
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_core.messages import (
    DemandReport,
    EndpointReport,
    ModelDemand,
)
from hemlockdock_core.rows import EngineSpec, ModelSpec, PoolRow
from hemlockdock_core.wire import EngineReport, ListedEndpoint, LoadedModel

POOL = "p"
NOW_S = 100.0
EPSILON_S = 0.001


def spec(name, mb=34.0, store_load_ms=6_000):
    return ModelSpec(name, mb, 0, 0.0, store_load_ms, 390, 510)


def pool(*models):
    return PoolRow(POOL, "/", 100, EngineSpec(32, 1_000, 1, 83.0, 8, 56.0, 320.0, 5.0, models))


def report(models=(), disk=(), memory=(), busy=False, started_ms=1, running=0):
    loaded = tuple(LoadedModel(name, 1, frozenset()) for name in models)
    return EngineReport(
        started_ms,
        0,
        busy,
        False,
        None,
        loaded,
        frozenset(),
        frozenset(memory),
        frozenset(disk),
        0,
        running,
        0,
        0,
    )


def view(endpoint_id, engine_report, pending=None):
    return EngineView(endpoint_id, f"tcp://{endpoint_id}", engine_report, 0, False, 1, pending)


def demand(
    model,
    arrivals=0,
    waiting=0,
    in_flight=0,
    in_time=0,
    target_left_ms=0,
    urgency=1,
    returning=0,
):
    return ModelDemand(
        POOL, model, arrivals, waiting, in_flight, in_time, target_left_ms, urgency, returning
    )


def listed(endpoint_id="e", leaving=False):
    return ListedEndpoint(endpoint_id, POOL, f"10.0.0.1:{len(endpoint_id)}", "d", 32, leaving, ())


def wall_ms(now_s, step_ms=0):
    return round(now_s * 1_000) + 1_000_000 + step_ms


class ChoiceCase(unittest.TestCase):
    """Choose exchanges for a load that requests more models than fit into the engines."""

    def setUp(self):
        self.models = [spec("hot"), spec("warm"), spec("rare"), spec("other"), spec("small", 16.0)]
        self.board = DemandAggregator()
        self.views = {}
        self.history = PlacementHistory()
        self.history.store.concurrency_limit = 4

    def report_demand(self, *demands, now_s=NOW_S, entry="e"):
        self.board.record_report(entry, DemandReport(demands), now_s)

    def warm_up(self, **rates):
        """Report arrivals over twelve seconds so that request rates are established."""
        for second in range(int(NOW_S) - 12, int(NOW_S)):
            for model, rate in rates.items():
                usage = self.board.demand_by_model.get((POOL, model))
                known = usage.demand_by_entry["e"].arrivals if usage else 0
                self.report_demand(demand(model, known + rate), now_s=float(second))

    def arrivals(self, model):
        usage = self.board.demand_by_model.get((POOL, model))
        return usage.demand_by_entry["e"].arrivals if usage else 0

    def add_waiting(self, model, waiting=1, **more):
        self.report_demand(demand(model, self.arrivals(model) + waiting, waiting, **more))

    def choices(self, now_s=NOW_S):
        self.history.observe(self.views.values(), now_s - 60.0)
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, now_s)
        return [(c.endpoint_id, c.model.name, c.unload, c.source) for c in chosen.choices()]


class PlacementCase(unittest.TestCase):
    """Run placement rounds over the reports of engines."""

    def setUp(self):
        self.registry = EndpointRegistry()
        self.limits = RequestLimits(0.0)
        self.registry.set_directory([listed()])
        self.placement = Placement()
        self.board = DemandAggregator()
        self.pool = pool(spec("rare"), spec("warm"))
        self.now_s = NOW_S
        self.facts_number = 0
        self.models = ("warm",)

    def report(self, change_number=0, changing=False, incarnation=1, changing_to=""):
        body = EndpointReport(
            POOL,
            listed().address,
            report(self.models, disk=("rare",)),
            change_number,
            changing,
            self.facts_number,
            changing_to=changing_to,
        )
        self.registry.record_report(AgentReport("tcp://a", incarnation, body, self.now_s))

    def rows(self):
        return self.registry.rows(self.now_s, self.placement, self.limits)

    def decide(self, seconds=0.0):
        self.now_s += seconds
        messages = self.placement.decide(
            [self.pool], self.rows(), self.registry, self.board, self.now_s, 3
        )
        return [message.message for message in messages]

    def report_waiting(self, model):
        self.board.record_report("x", DemandReport((demand(model, 9, 9, 0, 9, 2_000),)), self.now_s)
