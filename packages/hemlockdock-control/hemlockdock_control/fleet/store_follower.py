"""Measure the weight store while another member leads, from the loads in the replicated state."""

MS_PER_S = 1_000.0
# A member that follows less often than this may see the ends of loads late.
MAX_FOLLOW_GAP_S = 0.5


class StoreFollower:
    """Feed the estimate of the store's concurrency while another member leads.

    Parameters
    ----------
    estimator : StoreConcurrencyEstimator
    """

    def __init__(self, estimator):
        self._estimator = estimator
        self._followed_keys = set()
        self._term = None
        self._followed_s = float("-inf")

    def follow(self, pools, rows, recorded_loads, now_s, term):
        """Record which loads have started and ended.

        Loads that were in progress when another leader was elected, or when this member did not
        run, are left out: their ends may be seen late.

        Parameters
        ----------
        pools : iterable of PoolRow
        rows : dict of str to EndpointRow
        recorded_loads : RecordedLoads
        now_s : float
        term : int
        """
        nominal_s_by_key = {}
        for pool in pools:
            if pool.engine is None:
                continue
            for item in recorded_loads.from_store(pool):
                spec = pool.engine.model(item.load.model)
                nominal_s_by_key[item.load.key] = spec.store_load_ms / MS_PER_S
        is_continuous = term == self._term and now_s - self._followed_s <= MAX_FOLLOW_GAP_S
        self._term = term
        self._followed_s = now_s
        if is_continuous:
            self._record_changes(nominal_s_by_key, rows, now_s)
        else:
            self._estimator.forget_active_loads()
        self._followed_keys = set(nominal_s_by_key)

    def _record_changes(self, nominal_s_by_key, rows, now_s):
        for key in self._followed_keys.difference(nominal_s_by_key):
            self._estimator.record_end(key, _has_loaded(rows, *key), now_s)
        for key, nominal_s in nominal_s_by_key.items():
            if key not in self._followed_keys:
                self._estimator.record_start(key, nominal_s, now_s)
        self._estimator.check_overdue(now_s)


def _has_loaded(rows, endpoint_id, model):
    row = rows.get(endpoint_id)
    return row is not None and row.has_model(model)
