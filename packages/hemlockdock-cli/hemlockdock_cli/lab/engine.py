"""Play one engine: its models, the copies on its host, its runs and its orders."""

from collections import OrderedDict

from hemlockdock_core.messages import EndpointReport
from hemlockdock_core.wire import EngineReport, LoadedModel

MS_PER_S = 1_000.0


class LabEngine:
    """Play one engine.

    Parameters
    ----------
    scenario : Scenario
    name : str
    resident, on_disk : iterable of str

    Attributes
    ----------
    runs_by_model : dict of str to int
    """

    def __init__(self, scenario, name, resident=(), on_disk=()):
        self.name = name
        self.runs_by_model = {}
        self._scenario = scenario
        self._resident = list(resident)
        self._disk = OrderedDict((model, None) for model in on_disk)
        self._memory = OrderedDict()
        self._change = None
        self._store = None
        self._number = 0
        self._facts = 0
        for model in self._resident:
            self._keep(self._disk, model, scenario.disk_cache_mb)

    @property
    def address(self):
        """Return the engine's address."""
        return self.name

    def holds(self, model):
        """Tell whether a model can be asked for.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        leaving = () if self._change is None else self._change.unload
        return model in self._resident and model not in leaving

    def learn_facts(self, facts):
        """Take what the engine can hold.

        Parameters
        ----------
        facts : EngineFacts
        """
        self._facts = facts.number

    def take_change(self, change):
        """Take on a change of models.

        Parameters
        ----------
        change : ChangeModels

        Returns
        -------
        bool
            Whether it is a new one.
        """
        if change.number <= self._number:
            return False
        self._number = change.number
        self._change = change
        return True

    def unload_ready(self):
        """Tell whether the models that make room run nothing any more."""
        return all(not self.runs_by_model.get(model) for model in self._change.unload)

    def begin_load(self, store):
        """Make room and begin the load.

        Parameters
        ----------
        store : LabStore

        Returns
        -------
        float
            Seconds until the load is done.
        """
        for model in self._change.unload:
            if model in self._resident:
                self._resident.remove(model)
        spec = self._scenario.pool.engine.model(self._change.load)
        if spec.name in self._memory:
            return spec.memory_load_ms / MS_PER_S
        if spec.name in self._disk:
            return spec.disk_load_ms / MS_PER_S
        self._store = store
        return store.begin(spec.store_load_ms / MS_PER_S)

    def end_load(self):
        """Have the model loaded."""
        model = self._change.load
        self._resident.append(model)
        self._keep(self._memory, model, self._scenario.host_cache_mb)
        self._keep(self._disk, model, self._scenario.disk_cache_mb)
        self._change = None
        if self._store is not None:
            self._store.end()
            self._store = None

    def report(self):
        """Return what its agent reports.

        Returns
        -------
        EndpointReport
        """
        models = tuple(LoadedModel(model, 1, frozenset()) for model in self._resident)
        report = EngineReport(
            1,
            self._number,
            False,
            False,
            None,
            models,
            frozenset(),
            frozenset(self._memory),
            frozenset(self._disk),
            0,
            sum(self.runs_by_model.values()),
            0,
            0,
        )
        return EndpointReport(
            "lm", self.address, report, self._number, self._change is not None, self._facts
        )

    def _keep(self, copies, model, room_mb):
        copies[model] = None
        copies.move_to_end(model)
        while sum(self._scenario.size_mb(name) for name in copies) > room_mb and len(copies) > 1:
            copies.popitem(last=False)
