"""Estimate from the routing table when models will be available."""

MS_PER_S = 1_000


class ModelAvailability:
    """Models that are loaded, being loaded, or stored on a host."""

    def __init__(self):
        self._ready_s_by_model = {}
        self._on_host_by_pool = {}
        self._resident = set()

    def update(self, rows, now_s):
        """Update the state from the current endpoints.

        Parameters
        ----------
        rows : iterable of EndpointRow
        now_s : float
        """
        ready_s_by_model = {}
        on_host_by_pool = {}
        resident = set()
        for row in rows:
            for arriving in row.arriving:
                key = (row.pool, arriving.name)
                known_s = self._ready_s_by_model.get(key)
                ready_s_by_model[key] = known_s or now_s + arriving.takes_ms / MS_PER_S
            if row.leaving:
                continue
            _add_host_models(on_host_by_pool, row)
            for model in row.models:
                resident.add((row.pool, model.name))
        self._ready_s_by_model = ready_s_by_model
        self._on_host_by_pool = on_host_by_pool
        self._resident = resident

    def ready_s(self, pool, model):
        """Return when a model will be loaded, or None if no load of it was decided.

        Parameters
        ----------
        pool, model : str

        Returns
        -------
        float or None
        """
        return self._ready_s_by_model.get((pool, model))

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
        on_host = self._on_host_by_pool.get(pool.name)
        if on_host is None or model in on_host:
            return spec.memory_load_ms / MS_PER_S
        return spec.store_load_ms / MS_PER_S


def _add_host_models(on_host_by_pool, row):
    """Add the models on an endpoint's host; None if any host of the pool is unknown."""
    known = on_host_by_pool.setdefault(row.pool, set())
    if row.on_host is None:
        on_host_by_pool[row.pool] = None
    elif known is not None:
        known.update(row.on_host)
        known.update(model.name for model in row.models)
