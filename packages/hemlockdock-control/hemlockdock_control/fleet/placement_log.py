"""Log lines on the weight store and on last copies, each written once per change."""

import logging

logger = logging.getLogger(__name__)

MAX_LOGGED_MODELS = 6


class PlacementLog:
    """Write what has changed since the last placement round."""

    def __init__(self):
        self._store_use_by_pool = {}
        self._leaving_ids = frozenset()

    def note_store_use(self, pool, store, idleness):
        """Log how the store is used, if that has changed.

        Parameters
        ----------
        pool : PoolRow
        store : StoreAdmission
        idleness : StoreIdleness
        """
        idle_reason = "" if store.active_loads else idleness.reason.value
        use = {
            "pool": pool.name,
            "decided_loads": store.decided_loads,
            "inherited_loads": store.inherited_loads,
            "lost_loads": store.lost_loads,
            "concurrency_limit": store.concurrency_limit,
            "is_measured": store.is_measured,
            "idle_reason": idle_reason,
        }
        if self._store_use_by_pool.get(pool.name) == use:
            return
        self._store_use_by_pool[pool.name] = use
        logger.info("weight store use changed", extra=use)

    def note_last_copies(self, pool, leaving, demand, now_s):
        """Log the demand for models whose last copies leave, once for each engine.

        Parameters
        ----------
        pool : PoolRow
        leaving : dict of str to frozenset of str
            Models by endpoint id.
        demand : DemandAggregator
        now_s : float
        """
        for endpoint_id in sorted(leaving.keys() - self._leaving_ids):
            asked_by_name = {}
            for name in sorted(leaving[endpoint_id]):
                use = demand.demand_by_model.get((pool.name, name))
                asked_by_name[name] = 0.0 if use is None else round(use.lately_asked(now_s), 1)
            logger.info(
                "last copies leave",
                extra={"endpoint": endpoint_id, "lately_asked": asked_by_name},
            )
        self._leaving_ids |= leaving.keys()

    def note_store_demand(self, pool, names, demand, now_s):
        """Log the demand for the models that only the store has, when it begins a load.

        Parameters
        ----------
        pool : PoolRow
        names : iterable of str
            Models that neither an engine nor a host has, nor a load in progress brings.
        demand : DemandAggregator
        now_s : float
        """
        rows = []
        for name in names:
            use = demand.demand_by_model.get((pool.name, name))
            if use is not None:
                lately = round(use.lately_asked(now_s), 1)
                rows.append((lately, name, use.waiting, use.returning))
        rows.sort(reverse=True)
        asked_by_name = {}
        for lately, name, waiting, returning in rows[:MAX_LOGGED_MODELS]:
            asked_by_name[name] = {
                "lately": lately,
                "waiting": waiting,
                "returning": returning,
            }
        logger.info("weight store demand", extra={"pool": pool.name, "asked": asked_by_name})
