"""Loads of models that were decided and have not delivered their models yet.

They are derived from the rows of endpoints, and so outlive the leader that decided them. The weight
store goes on with a load whose engine is lost until its planned end.
"""

import msgspec


class ModelLoad(msgspec.Struct, array_like=True, frozen=True):
    """A load that was decided.

    Attributes
    ----------
    pool, endpoint_id, model : str
    begun_ms : int
        Committed time of the decision.
    takes_ms : int
        Expected duration.
    """

    pool: str
    endpoint_id: str
    model: str
    begun_ms: int
    takes_ms: int

    @property
    def key(self):
        """Return the endpoint id and the model."""
        return (self.endpoint_id, self.model)

    @property
    def planned_end_ms(self):
        """Return the committed time at which it is expected to end."""
        return self.begun_ms + self.takes_ms


class ModelLoads:
    """Loads of all endpoints, in progress or lost, until they deliver or reach their planned end.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    load_by_key : dict of (str, str) to ModelLoad
        Keyed by endpoint id and model.
    store_loads : int
        Number of loads that the weight store was measured to carry at full speed; 0 if it was not.
    """

    def __init__(self, context):
        self._context = context
        self._models_by_endpoint = {}
        self._next_end_ms = float("inf")
        self.load_by_key = {}
        self.store_loads = 0

    def note_row(self, old, row):
        """Note a row that was added or changed.

        Parameters
        ----------
        old : EndpointRow or None
            The endpoint's row before.
        row : EndpointRow
        """
        self._remove_ended()
        known = set()
        if old is not None:
            known = {(arriving.name, arriving.takes_ms) for arriving in old.arriving}
        for arriving in row.arriving:
            if (arriving.name, arriving.takes_ms) in known:
                continue
            key = (row.endpoint_id, arriving.name)
            begun_ms = self._context.now_ms
            self._add(ModelLoad(row.pool, *key, begun_ms, arriving.takes_ms))
        for model in list(self._models_by_endpoint.get(row.endpoint_id, ())):
            if _has_weights(row, model):
                self._remove((row.endpoint_id, model))

    def restore(self, loads, store_loads=0):
        """Restore the loads from a snapshot.

        Parameters
        ----------
        loads : list of ModelLoad
        store_loads : int, optional
        """
        self.store_loads = store_loads
        self.load_by_key = {}
        self._models_by_endpoint = {}
        self._next_end_ms = float("inf")
        for load in loads:
            self._add(load)

    def _add(self, load):
        self.load_by_key[load.key] = load
        self._models_by_endpoint.setdefault(load.endpoint_id, set()).add(load.model)
        self._next_end_ms = min(self._next_end_ms, load.planned_end_ms)

    def _remove(self, key):
        del self.load_by_key[key]
        endpoint_id, model = key
        models = self._models_by_endpoint[endpoint_id]
        models.remove(model)
        if not models:
            del self._models_by_endpoint[endpoint_id]

    def _remove_ended(self):
        now_ms = self._context.now_ms
        if now_ms < self._next_end_ms:
            return
        for key, load in list(self.load_by_key.items()):
            if now_ms >= load.planned_end_ms:
                self._remove(key)
        ends_ms = [load.planned_end_ms for load in self.load_by_key.values()]
        self._next_end_ms = min(ends_ms, default=float("inf"))


def _has_weights(row, model):
    return row.has_model(model) or model in (row.on_host or ())
