"""Simulate one engine: its loaded models, the weight caches of its host, runs and orders."""

from collections import OrderedDict

from hemlockdock_core.messages import EndpointReport
from hemlockdock_core.wire import EngineReport, LoadedModel

MS_PER_S = 1_000.0


class SimulatedEngine:
    """Simulate one engine and the weight caches of its host.

    Parameters
    ----------
    scenario : Scenario
    name : str
    resident, on_disk : iterable of str
        Models that are loaded, and models whose weights are on disk, at the start.

    Attributes
    ----------
    runs_by_model : dict of str to int
        Number of running requests.
    """

    def __init__(self, scenario, name, resident=(), on_disk=()):
        self.name = name
        self.runs_by_model = {}
        self._scenario = scenario
        self._resident = list(resident)
        self._disk_cache = OrderedDict((model, None) for model in on_disk)
        self._memory_cache = OrderedDict()
        self._change = None
        self._is_loading = False
        self._store = None
        self._change_number = 0
        self._facts_number = 0
        self._started_ms = 1
        self._down_until_s = float("-inf")
        for model in self._resident:
            self._cache_copy(self._disk_cache, model, scenario.disk_cache_mb)

    @property
    def address(self):
        """Address of the engine."""
        return self.name

    def after_crash(self, down_until_s):
        """Return the engine that starts again on the same host, with the weights on its disk.

        What this one was loading is lost, though the store goes on with it.

        Parameters
        ----------
        down_until_s : float
            Time until which the new one does not respond.

        Returns
        -------
        SimulatedEngine
        """
        engine = SimulatedEngine(self._scenario, self.name, on_disk=self._disk_cache)
        engine._change_number = self._change_number
        engine._started_ms = self._started_ms + 1
        engine._down_until_s = down_until_s
        return engine

    def holds(self, model, now_s):
        """Return whether requests for a model can be started.

        Parameters
        ----------
        model : str
        now_s : float

        Returns
        -------
        bool
        """
        if now_s < self._down_until_s:
            return False
        leaving = () if self._change is None else self._change.unload
        return model in self._resident and model not in leaving

    def set_facts(self, facts):
        """Store the number of the latest facts from control.

        Parameters
        ----------
        facts : EngineFacts
        """
        self._facts_number = facts.number

    def accept_change(self, change):
        """Accept a change of models unless it is outdated.

        Parameters
        ----------
        change : ChangeModels

        Returns
        -------
        bool
            Whether the change is newer than the last one.
        """
        if change.number <= self._change_number:
            return False
        self._change_number = change.number
        self._change = change
        return True

    def can_unload(self):
        """Return whether the models to unload have no running requests left."""
        return all(not self.runs_by_model.get(model) for model in self._change.unload)

    def begin_load(self, store):
        """Unload models to free memory and begin the load.

        Parameters
        ----------
        store : SimulatedWeightStore

        Returns
        -------
        float
            Duration of the load in seconds.
        """
        self._is_loading = True
        for model in self._change.unload:
            if model in self._resident:
                self._resident.remove(model)
        spec = self._scenario.pool.engine.model(self._change.load)
        if spec.name in self._memory_cache:
            return spec.memory_load_ms / MS_PER_S
        if spec.name in self._disk_cache:
            return spec.disk_load_ms / MS_PER_S
        self._store = store
        return store.begin(spec.store_load_ms / MS_PER_S)

    def end_load(self):
        """Complete the load and update the weight caches."""
        model = self._change.load
        self._resident.append(model)
        self._cache_copy(self._memory_cache, model, self._scenario.host_cache_mb)
        self._cache_copy(self._disk_cache, model, self._scenario.disk_cache_mb)
        self._change = None
        self._is_loading = False
        if self._store is not None:
            self._store.end()
            self._store = None

    def report(self, now_s):
        """Return the report that the engine's agent would send.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        EndpointReport
        """
        models = tuple(LoadedModel(model, 1, frozenset()) for model in self._resident)
        report = EngineReport(
            self._started_ms,
            self._change_number,
            self._is_loading,
            False,
            None,
            models,
            frozenset(),
            frozenset(self._memory_cache),
            frozenset(self._disk_cache),
            0,
            sum(self.runs_by_model.values()),
            0,
            0,
        )
        return EndpointReport(
            "lm",
            self.address,
            report,
            self._change_number,
            self._change is not None,
            self._facts_number,
            answers=now_s >= self._down_until_s,
            changing_to="" if self._change is None else self._change.load,
        )

    def _cache_copy(self, cache, model, capacity_mb):
        cache[model] = None
        cache.move_to_end(model)
        while sum(self._scenario.size_mb(name) for name in cache) > capacity_mb and len(cache) > 1:
            cache.popitem(last=False)
