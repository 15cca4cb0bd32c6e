"""Loads from the store that were lost with their engines.

The store goes on with such a load until its planned end: a load that begins before then shares the
store with it, and takes longer by as much.
"""

from dataclasses import dataclass

MS_PER_S = 1_000.0


@dataclass(slots=True)
class TrackedLoad:
    """A load from the store.

    Attributes
    ----------
    planned_end_s : float
    is_lost : bool
        Whether its engine no longer loads the model, and has not got it.
    """

    planned_end_s: float
    is_lost: bool = False


class LostLoads:
    """Loads of a pool's engines that are lost, and have not reached their planned end yet."""

    def __init__(self):
        self._load_by_key = {}

    def observe(self, views, spec_by_name, now_s, recorded=()):
        """Record which loads go on; one that has ended without its model is lost.

        Parameters
        ----------
        views : iterable of EngineView
            All engines, also those that can't be used.
        spec_by_name : dict of str to ModelSpec
        now_s : float
        recorded : iterable of RecordedLoad, optional
            Loads from the store that the replicated state lists, also of earlier leaders.
        """
        self._add_recorded(recorded, now_s)
        loading = set()
        loaded = set()
        for view in views:
            loaded.update((view.endpoint_id, name) for name in view.report.on_host)
            loaded.update((view.endpoint_id, model.name) for model in view.report.models)
            name = view.coming_from_store
            if name not in spec_by_name:
                continue
            key = (view.endpoint_id, name)
            loading.add(key)
            if key not in self._load_by_key:
                end_s = _planned_end_s(view, spec_by_name[name], now_s)
                self._load_by_key[key] = TrackedLoad(end_s)
        for key, load in list(self._load_by_key.items()):
            load.is_lost = key not in loading
            if load.is_lost and (key in loaded or now_s >= load.planned_end_s):
                del self._load_by_key[key]

    def _add_recorded(self, recorded, now_s):
        for item in recorded:
            if item.planned_end_s > now_s:
                self._load_by_key.setdefault(item.load.key, TrackedLoad(item.planned_end_s))

    def planned_ends_s(self):
        """Return the planned ends of the lost loads.

        Returns
        -------
        list of float
        """
        return [load.planned_end_s for load in self._load_by_key.values() if load.is_lost]


def _planned_end_s(view, spec, now_s):
    if view.pending is not None:
        return view.pending.ready_s
    # An earlier leader decided the load, at a time that is not recorded.
    return now_s + spec.store_load_ms / MS_PER_S
