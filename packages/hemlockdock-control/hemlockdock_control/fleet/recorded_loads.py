"""Loads that the replicated state lists, on the clock of this member.

A member knows from them when loads end that another leader decided.
"""

from dataclasses import dataclass

MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class RecordedLoad:
    """A load with its planned end on this member's clock.

    Attributes
    ----------
    load : ModelLoad
    planned_end_s : float
    """

    load: object
    planned_end_s: float


class RecordedLoads:
    """Loads that the replicated state lists.

    Attributes
    ----------
    recorded_by_key : dict of (str, str) to RecordedLoad
        Keyed by endpoint id and model.
    """

    def __init__(self):
        self.recorded_by_key = {}

    def update(self, loads, now_s, wall_ms):
        """Update the loads; the wall clock counts only for those that are new to this member.

        Parameters
        ----------
        loads : ModelLoads
        now_s : float
        wall_ms : int
        """
        recorded_by_key = {}
        for key, load in loads.load_by_key.items():
            known = self.recorded_by_key.get(key)
            if known is not None and known.load == load:
                recorded_by_key[key] = known
                continue
            # Clocks of members may differ, and be set.
            left_ms = min(max(load.planned_end_ms - wall_ms, 0), load.takes_ms)
            recorded_by_key[key] = RecordedLoad(load, now_s + left_ms / MS_PER_S)
        self.recorded_by_key = recorded_by_key

    def from_store(self, pool):
        """Yield the loads of a pool that use the weight store.

        Parameters
        ----------
        pool : PoolRow

        Yields
        ------
        RecordedLoad
        """
        for recorded in self.recorded_by_key.values():
            load = recorded.load
            if load.pool != pool.name:
                continue
            spec = pool.engine.model(load.model)
            if spec is not None and load.takes_ms >= spec.store_load_ms:
                yield recorded
