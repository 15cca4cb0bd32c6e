"""Simulate engines, placement and a workload in virtual time."""

import random
from functools import singledispatchmethod

from hemlockdock_cli.lab.control import ELECTION_S, SimulatedControl
from hemlockdock_cli.lab.disturbances import EngineCrash, EngineReplacement, LeaderLoss
from hemlockdock_cli.lab.engine import SimulatedEngine
from hemlockdock_cli.lab.entry import SimulatedEntry
from hemlockdock_cli.lab.event_queue import EventQueue
from hemlockdock_cli.lab.scenario import generate_requests
from hemlockdock_cli.lab.store import SimulatedWeightStore
from hemlockdock_core.messages import ChangeModels

DECISION_INTERVAL_S = 0.04
# Delay of the messages between entry, control and agent, including the commit.
MESSAGE_DELAY_S = 0.03
# Interval between the engines that the directory lists first, and further ones.
DIRECTORY_INTERVAL_S = 0.4
# Time within which the entry reports all demand to a new leader.
REPORT_REPEAT_S = 0.25


class Simulation:
    """Simulate one seed of a scenario under one policy.

    Parameters
    ----------
    scenario : Scenario
    policy : type
        Class that chooses exchanges.
    seed : int
    duration_s : float
    disturbances : iterable of EngineCrash, EngineReplacement or LeaderLoss, optional
        In addition to the scenario's losses of engines.

    Attributes
    ----------
    result_by_class : dict of str to ClassResult
    requests : list of SimulatedRequest
    initially_on_hosts : set of str
        Models that were loaded or on the disk of some host at the start.
    """

    def __init__(self, scenario, policy, seed, duration_s, disturbances=()):
        self._scenario = scenario
        self._pool = scenario.pool
        self._duration_s = duration_s
        self._events = EventQueue(-scenario.warm_up_s)
        self._store = SimulatedWeightStore(scenario.store_full_speed_loads, self._events)
        self._control = SimulatedControl(self._pool, policy)
        self._disturbances = disturbances
        self._engine_by_name = {}
        self._hidden_names = set()
        self._entry = SimulatedEntry(scenario, self._control, self._engine_by_name, self._events)
        self.result_by_class = self._entry.result_by_class
        self._create_engines(random.Random(seed))
        self.initially_on_hosts = set()
        for engine in self._engine_by_name.values():
            self.initially_on_hosts |= engine.report(self._events.now_s).report.on_host
        self.requests = generate_requests(scenario, seed, duration_s)
        for request in self.requests:
            self.result_by_class[request.traffic.name].asked += 1
            self._events.schedule(request.first_arrival_s, self._entry.receive, request)

    @property
    def store_loads(self):
        """Loads that the weight store has begun."""
        return self._store.loads

    def run(self):
        """Run the simulation until no event is left.

        Returns
        -------
        Simulation
        """
        self._events.schedule(self._events.now_s, self._decide)
        self._schedule_listing()
        for at_s in self._scenario.engine_loss_times_s:
            self._events.schedule(at_s, self._on_engine_loss)
        for disturbance in self._disturbances:
            self._events.schedule(disturbance.at_s, self._disturb, disturbance)
        self._events.run()
        return self

    def _create_engines(self, rng):
        models = self._scenario.models
        names = [f"e{number}" for number in range(self._scenario.engines)]
        disk_by_name = {name: [] for name in names}
        models_on_disk = round(len(models) * self._scenario.disk_model_share)
        for model in models[:models_on_disk]:
            for name in rng.sample(names, self._scenario.copies_on_disk):
                disk_by_name[name].append(model)
        for position, name in enumerate(names):
            resident = []
            free_mb = self._scenario.weights_mb
            for model in [models[position % self._scenario.busy_models], *disk_by_name[name]]:
                if model not in resident and self._scenario.size_mb(model) <= free_mb:
                    resident.append(model)
                    free_mb -= self._scenario.size_mb(model)
            engine = SimulatedEngine(self._scenario, name, resident, disk_by_name[name])
            self._engine_by_name[name] = engine
        self._list_engines()

    def _schedule_listing(self):
        """List all engines at once, or some at a time."""
        batch = self._scenario.listed_at_once
        names = list(self._engine_by_name)
        if not batch:
            return
        self._hidden_names = set(names)
        self._list_engines()
        at_s = self._events.now_s + self._scenario.listed_after_s
        for start in range(0, len(names), batch):
            self._events.schedule(at_s, self._show_engines, names[start : start + batch])
            at_s += DIRECTORY_INTERVAL_S

    def _show_engines(self, names):
        self._hidden_names -= set(names)
        self._list_engines()

    def _list_engines(self):
        self._control.list_engines(
            [name for name in self._engine_by_name if name not in self._hidden_names]
        )

    def _on_engine_loss(self):
        self._replace_engine(next(iter(self._engine_by_name)))

    def _replace_engine(self, name):
        if name not in self._engine_by_name:
            return
        del self._engine_by_name[name]
        self._engine_by_name[name + "+"] = SimulatedEngine(self._scenario, name + "+")
        self._list_engines()

    @singledispatchmethod
    def _disturb(self, disturbance):
        raise TypeError(f"unknown disturbance: {disturbance!r}")

    @_disturb.register
    def _(self, disturbance: EngineCrash):
        for name in disturbance.engines:
            engine = self._engine_by_name.get(name)
            if engine is None:
                continue
            restarted = engine.after_crash(self._events.now_s + disturbance.down_s)
            self._engine_by_name[name] = restarted

    @_disturb.register
    def _(self, disturbance: EngineReplacement):
        for name in disturbance.engines:
            self._replace_engine(name)

    @_disturb.register
    def _(self, disturbance: LeaderLoss):
        self._control.lose_leader(self._events.now_s)
        reported_s = self._events.now_s + ELECTION_S + REPORT_REPEAT_S
        self._events.schedule(reported_s, self._entry.report_all)

    def _decide(self):
        messages = self._control.decide(self._engine_by_name.values(), self._events.now_s)
        for outgoing in messages:
            engine = self._engine_by_name.get(outgoing.agent_address)
            if engine is None:
                continue
            if not isinstance(outgoing.message, ChangeModels):
                engine.set_facts(outgoing.message)
            elif engine.accept_change(outgoing.message):
                self._events.schedule(
                    self._events.now_s + MESSAGE_DELAY_S, self._start_load, engine
                )
        rows = self._control.record_rows(self._events.now_s)
        self._entry.update(rows.values())
        # A pending event may be the retry of a refused request.
        if self._events.now_s < self._duration_s or not self._entry.is_idle or self._events:
            self._events.schedule(self._events.now_s + DECISION_INTERVAL_S, self._decide)

    def _start_load(self, engine):
        if self._engine_by_name.get(engine.name) is not engine:
            # It was lost, or has crashed, in the meantime.
            return
        if not engine.can_unload():
            self._events.schedule(
                self._events.now_s + DECISION_INTERVAL_S, self._start_load, engine
            )
            return
        load_s = engine.begin_load(self._store)
        self._events.schedule(self._events.now_s + load_s, self._on_load_end, engine)

    def _on_load_end(self, engine):
        engine.end_load()
        self._events.schedule(self._events.now_s + MESSAGE_DELAY_S, self._entry.serve_all)
