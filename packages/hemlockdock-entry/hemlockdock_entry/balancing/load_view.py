"""An entry's view of the loads of endpoints."""

import logging

from hemlockdock_core.messages import load_key
from hemlockdock_core.metrics import COUNTERS, GAUGES
from hemlockdock_entry.balancing.own_requests import OwnRequests
from hemlockdock_entry.balancing.reported_load import (
    MAX_REPORT_AGE_S,
    PoolLoad,
    ReportedLoad,
    expected_others,
)

logger = logging.getLogger(__name__)

UNEVENNESS_GAUGE = "gateway_load_unevenness"
AGE_GAUGE = "gateway_load_report_age_seconds"
MS_PER_S = 1_000
MILLI = 1_000
# Weight of the latest request in the average run time.
EWMA_WEIGHT = 0.05
# Run time that is assumed until a request has ended.
DEFAULT_RUN_S = 2.0
MIN_RUN_S = 0.02
UNKNOWN_POOL = PoolLoad()


class LoadView:
    """The last report of each endpoint, and what this entry sent to it.

    This handles reports of some hundred endpoints, a few seconds old. Reports older than 3 s, and
    those of an endpoint that has refused a request since as it was full, are not used. Speeds are
    kept, as they hardly change.
    """

    def __init__(self):
        self._load_by_id = {}
        self._speed_by_id = {}
        self._own_by_id = {}
        self._rejected_s_by_id = {}
        self._pool_by_name = {}
        self._mean_run_s_by_pool = {}
        self._recorded_s = float("-inf")

    def record(self, summary, rows, pool_by_name, now_s):
        """Record the loads of a summary.

        Parameters
        ----------
        summary : LoadSummary
        rows : iterable of EndpointRow
            All endpoints.
        pool_by_name : dict of str to PoolRow
        now_s : float
        """
        if not self.has_recent_summary(now_s):
            logger.info("loads of endpoints arrive", extra={"loads": len(summary.loads)})
        self._recorded_s = now_s
        row_by_key = _row_by_key(rows)
        self._remove_absent(row_by_key)
        for load in summary.loads:
            row = row_by_key.get(load.key)
            if row is None:
                COUNTERS.increment("gateway_loads_unknown")
                continue
            self._record(row, load, pool_by_name.get(row.pool), now_s)
        self._update_pools(row_by_key.values(), now_s)

    def has_recent_summary(self, now_s):
        """Return whether a summary was recorded in the last seconds.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s - self._recorded_s <= MAX_REPORT_AGE_S

    def record_sent(self, endpoint_id, now_s):
        """Record that this entry sends a request to an endpoint.

        Parameters
        ----------
        endpoint_id : str
        now_s : float
        """
        self._own(endpoint_id).add(1, now_s)

    def record_ended(self, row, sent_s, now_s):
        """Record that a request of this entry has ended.

        Parameters
        ----------
        row : EndpointRow
        sent_s : float or None
            Time at which it was written to the endpoint; None if it was not.
        now_s : float
        """
        self._own(row.endpoint_id).add(-1, now_s)
        if sent_s is None:
            return
        mean_run_s = self.mean_run_s(row.pool)
        change_s = now_s - sent_s - mean_run_s
        self._mean_run_s_by_pool[row.pool] = mean_run_s + EWMA_WEIGHT * change_s

    def record_rejected(self, endpoint_id, now_s):
        """Record that an endpoint has refused a request because it is full.

        Parameters
        ----------
        endpoint_id : str
        now_s : float
        """
        self._rejected_s_by_id[endpoint_id] = now_s

    def load(self, endpoint_id, now_s):
        """Return the last report of an endpoint, or None if there is no fresh one.

        Parameters
        ----------
        endpoint_id : str
        now_s : float

        Returns
        -------
        ReportedLoad or None
        """
        load = self._load_by_id.get(endpoint_id)
        if load is None or now_s - load.at_s > MAX_REPORT_AGE_S:
            return None
        return load

    def has_recent_report(self, rows, now_s):
        """Return whether there is a recent report of any of some endpoints.

        Parameters
        ----------
        rows : iterable of EndpointRow
        now_s : float

        Returns
        -------
        bool
        """
        return any(self.load(row.endpoint_id, now_s) is not None for row in rows)

    def is_full(self, endpoint_id, now_s):
        """Return whether an endpoint has refused a request since its last report.

        Parameters
        ----------
        endpoint_id : str
        now_s : float

        Returns
        -------
        bool
            False if there is no fresh report, as nothing would end the state.
        """
        load = self.load(endpoint_id, now_s)
        return load is not None and self._rejected_s_by_id.get(endpoint_id, 0.0) > load.at_s

    def speed(self, endpoint_id):
        """Return the speed that was last reported of an endpoint, or None if there was none.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        float or None
        """
        return self._speed_by_id.get(endpoint_id)

    def pool_load(self, pool):
        """Return the mean load of a pool.

        Parameters
        ----------
        pool : str

        Returns
        -------
        PoolLoad
        """
        return self._pool_by_name.get(pool, UNKNOWN_POOL)

    def mean_run_s(self, pool):
        """Return the mean run time of the requests of a pool, as this entry has seen it.

        Parameters
        ----------
        pool : str

        Returns
        -------
        float
        """
        return max(MIN_RUN_S, self._mean_run_s_by_pool.get(pool, DEFAULT_RUN_S))

    def others(self, row, slots, now_s):
        """Return the requests of other entries that are expected at an endpoint.

        Parameters
        ----------
        row : EndpointRow
        slots : int
        now_s : float

        Returns
        -------
        ExpectedOthers
        """
        load = self.load(row.endpoint_id, now_s)
        mean_run_s = self.mean_run_s(row.pool)
        return expected_others(load, self.pool_load(row.pool), slots, mean_run_s, now_s)

    def _record(self, row, load, pool, now_s):
        at_s = now_s - load.age_ms / MS_PER_S
        known = self._load_by_id.get(row.endpoint_id)
        if known is not None and known.at_s > at_s:
            return
        slots = row.slots if pool is None or pool.engine is None else pool.engine.slots
        requests = load.running + load.waiting
        own = self._own(row.endpoint_id).at(at_s)
        self._load_by_id[row.endpoint_id] = ReportedLoad(
            at_s,
            requests,
            max(0, requests - own),
            max(1, slots),
            load.cache_used_percent / 100,
        )
        if load.speed_milli:
            self._speed_by_id[row.endpoint_id] = load.speed_milli / MILLI

    def _own(self, endpoint_id):
        own = self._own_by_id.get(endpoint_id)
        if own is None:
            own = OwnRequests()
            self._own_by_id[endpoint_id] = own
        return own

    def _remove_absent(self, row_by_key):
        present = {row.endpoint_id for row in row_by_key.values()}
        for endpoint_id in self._load_by_id.keys() - present:
            del self._load_by_id[endpoint_id]
        for endpoint_id in self._speed_by_id.keys() - present:
            del self._speed_by_id[endpoint_id]
        for endpoint_id in self._rejected_s_by_id.keys() - present:
            del self._rejected_s_by_id[endpoint_id]
        for endpoint_id, own in list(self._own_by_id.items()):
            if endpoint_id not in present and not own.in_flight:
                del self._own_by_id[endpoint_id]

    def _update_pools(self, rows, now_s):
        loads_by_pool = {}
        speeds_by_pool = {}
        for row in rows:
            speed = self._speed_by_id.get(row.endpoint_id)
            if speed is not None:
                speeds_by_pool.setdefault(row.pool, []).append(speed)
            load = self.load(row.endpoint_id, now_s)
            if load is not None:
                loads_by_pool.setdefault(row.pool, []).append(load)
        for pool in self._pool_by_name.keys() - loads_by_pool.keys():
            GAUGES.remove(UNEVENNESS_GAUGE, pool=pool)
            GAUGES.remove(AGE_GAUGE, pool=pool)
        self._pool_by_name = {}
        for pool, loads in loads_by_pool.items():
            shares = [load.requests / load.slots for load in loads]
            slots = sum(load.slots for load in loads)
            others_share = sum(load.others for load in loads) / slots
            self._pool_by_name[pool] = PoolLoad(others_share, _mean(speeds_by_pool.get(pool)))
            mean = sum(shares) / len(shares)
            GAUGES.set(UNEVENNESS_GAUGE, max(shares) / mean if mean else 1.0, pool=pool)
            oldest_s = max(now_s - load.at_s for load in loads)
            GAUGES.set(AGE_GAUGE, oldest_s, pool=pool)


def _row_by_key(rows):
    """Return endpoints by their keys, without those that share a key."""
    row_by_key = {}
    shared = set()
    for row in rows:
        key = load_key(row.endpoint_id)
        if key in row_by_key:
            shared.add(key)
        row_by_key[key] = row
    for key in shared:
        del row_by_key[key]
    return row_by_key


def _mean(values):
    return sum(values) / len(values) if values else None
