"""Measure the weight store from the loads in the replicated state, of whichever leader."""

MS_PER_S = 1_000.0
# A member that follows less often than this may see the ends of loads late.
MAX_FOLLOW_GAP_S = 0.5
# After an election, the rows may show for this long what has ended meanwhile.
ELECTION_SETTLE_S = 3.0
# After a longer interruption, nothing is known of the loads before it.
MAX_INTERRUPTION_S = 10.0


class StoreFollower:
    """Feed the estimate of the store's concurrency, over changes of leadership.

    Parameters
    ----------
    estimator : StoreConcurrencyEstimator
    """

    def __init__(self, estimator):
        self._estimator = estimator
        self._followed_keys = set()
        self._term = None
        self._followed_s = float("-inf")
        self._interrupted_s = None
        self._settled_s = float("-inf")

    def follow(self, pools, rows, recorded_loads, now_s, term):
        """Record which loads have started and ended.

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
        is_continuous = self._note_interruption(now_s, term)
        if self._is_unknown(nominal_s_by_key, is_continuous, now_s):
            self._estimator.forget_active_loads()
        else:
            self._record_changes(nominal_s_by_key, rows, now_s)
        self._followed_keys = set(nominal_s_by_key)
        self._followed_s = now_s

    def _note_interruption(self, now_s, term):
        """Return whether the loads were followed without interruption since the last time."""
        is_continuous = now_s - self._followed_s <= MAX_FOLLOW_GAP_S
        if not is_continuous or term != self._term:
            if self._interrupted_s is None:
                self._interrupted_s = self._followed_s
            self._settled_s = now_s + ELECTION_SETTLE_S
        elif now_s >= self._settled_s:
            self._interrupted_s = None
        self._term = term
        return is_continuous

    def _is_unknown(self, keys, is_continuous, now_s):
        if is_continuous:
            return False
        if now_s - self._followed_s > MAX_INTERRUPTION_S:
            return True
        # A load that began in the meantime ran beside the others for an unknown time.
        return not self._followed_keys.issuperset(keys)

    def _record_changes(self, nominal_s_by_key, rows, now_s):
        for key in self._followed_keys.difference(nominal_s_by_key):
            has_loaded = _has_loaded(rows, *key)
            self._estimator.record_end(key, has_loaded, now_s, self._interrupted_s)
        for key, nominal_s in nominal_s_by_key.items():
            if key not in self._followed_keys:
                self._estimator.record_start(key, nominal_s, now_s)
        if self._interrupted_s is None:
            self._estimator.check_overdue(now_s)


def _has_loaded(rows, endpoint_id, model):
    row = rows.get(endpoint_id)
    return row is not None and row.has_model(model)
