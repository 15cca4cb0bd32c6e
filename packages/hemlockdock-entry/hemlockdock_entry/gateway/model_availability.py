"""Estimate from the routing table when models will be available."""

from dataclasses import dataclass

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class DecidedLoad:
    """A load of a model that was decided and is not finished yet.

    Attributes
    ----------
    ready_s : float
        Time at which it is expected to end.
    takes_ms : int
        Expected duration.
    left_ms : int or None
        Time left as last stated by a leader that did not decide it.
    """

    ready_s: float
    takes_ms: int
    left_ms: int | None = None


class ModelAvailability:
    """Models that are loaded, being loaded, or stored on a host."""

    def __init__(self):
        self._load_by_endpoint = {}
        self._clear_endpoints()

    def _clear_endpoints(self):
        self._loads_by_model = {}
        self._on_host = set()
        self._pools_with_known_hosts = set()
        self._pools_with_unknown_hosts = set()
        self._resident = set()

    def update(self, rows, now_s):
        """Update the state from the current endpoints.

        Parameters
        ----------
        rows : iterable of EndpointRow
        now_s : float
        """
        load_by_endpoint = {}
        self._clear_endpoints()
        for row in rows:
            for arriving in row.arriving:
                key = (row.endpoint_id, row.pool, arriving.name)
                load = self._load_by_endpoint.get(key)
                if load is None or load.left_ms != arriving.left_ms:
                    load = _decided_load(arriving, now_s)
                load_by_endpoint[key] = load
                self._loads_by_model.setdefault((row.pool, arriving.name), []).append(load)
            if row.leaving:
                continue
            self._add_host_models(row)
            for model in row.models:
                self._resident.add((row.pool, model.name))
        self._load_by_endpoint = load_by_endpoint

    def ready_s(self, pool, model, now_s):
        """Return when a model will be loaded, or None if no load of it was decided.

        A load from the store is disregarded if a host has the weights and would be sooner.

        Parameters
        ----------
        pool : PoolRow
            A pool with an engine.
        model : str
        now_s : float

        Returns
        -------
        float or None
        """
        key = (pool.name, model)
        earliest_s = None
        for load in self._loads_by_model.get(key, ()):
            if key in self._on_host and _is_slower_than_host(load, pool.engine.model(model), now_s):
                continue
            if earliest_s is None or load.ready_s < earliest_s:
                earliest_s = load.ready_s
        return earliest_s

    def least_s(self, pool, model):
        """Return the minimum time to load a model whose load was not decided yet.

        It is 0 for a model that an engine has loaded: its requests wait only for a free slot.

        Parameters
        ----------
        pool : PoolRow
            A pool with an engine.
        model : str

        Returns
        -------
        float
        """
        if (pool.name, model) in self._resident:
            return 0.0
        spec = pool.engine.model(model)
        if spec is None:
            return 0.0
        if self._may_be_on_host(pool, model):
            return spec.memory_load_ms / MS_PER_S
        return spec.store_load_ms / MS_PER_S

    def _add_host_models(self, row):
        if row.on_host is None:
            self._pools_with_unknown_hosts.add(row.pool)
            return
        self._pools_with_known_hosts.add(row.pool)
        self._on_host.update((row.pool, model) for model in row.on_host)
        self._on_host.update((row.pool, model.name) for model in row.models)

    def _may_be_on_host(self, pool, model):
        if (pool.name, model) in self._on_host or pool.name in self._pools_with_unknown_hosts:
            return True
        return pool.name not in self._pools_with_known_hosts


def _decided_load(arriving, now_s):
    left_ms = arriving.takes_ms if arriving.left_ms is None else arriving.left_ms
    return DecidedLoad(now_s + left_ms / MS_PER_S, arriving.takes_ms, arriving.left_ms)


def _is_slower_than_host(load, spec, now_s):
    is_from_store = load.takes_ms >= spec.store_load_ms
    return is_from_store and load.ready_s > now_s + spec.disk_load_ms / MS_PER_S
