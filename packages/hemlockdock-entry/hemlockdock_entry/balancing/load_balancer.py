"""Choose endpoints by the wait that is expected there."""

from math import sqrt
from statistics import median

from hemlockdock_entry.gateway.endpoint_health import MAX_FAILURE_RATE, OTHER_DOMAIN_LOAD_FACTOR

# Endpoints drawn at random for a request. With more, entries that have the same reports agree too
# often; with one, the choice is random.
CANDIDATES = 3
# A report may claim a speed within this factor of the pool's mean.
MAX_SPEED_FACTOR = 3.0
# First bytes that take this many times as long as is usual in the pool contradict a low load.
SLOW_FACTOR = 3.0


class LoadBalancer:
    """Choose, of a few random endpoints, the one at which a request is expected to wait least.

    Many entries that have the same reports spread their requests: candidates are random, and so is
    the number of requests that others are assumed to have sent since a report. Without fresh
    reports, endpoints are chosen by what this entry observed itself.

    Parameters
    ----------
    view : LoadView
    health : EndpointHealthTracker
    """

    def __init__(self, view, health):
        self._view = view
        self._health = health
        self._random = health.random_source

    def has_room(self, row, max_in_flight, now_s):
        """Return whether an engine is expected to have a free slot.

        Parameters
        ----------
        row : EndpointRow
        max_in_flight : int
            Requests of this entry that an endpoint gets while its load is not known.
        now_s : float

        Returns
        -------
        bool
        """
        in_flight = self._health.for_endpoint(row.endpoint_id).in_flight
        load = self._view.load(row.endpoint_id, now_s)
        if load is None:
            return in_flight < max_in_flight
        if self._view.is_full(row.endpoint_id, now_s):
            return False
        others = self._view.others(row, load.slots, now_s)
        return in_flight + others.mean + 1.0 <= load.slots

    def choose(self, rows, now_s, excluded_ids=frozenset(), preferred_ids=frozenset(), apart=False):
        """Choose an endpoint; see ``EndpointHealthTracker.choose``.

        Parameters
        ----------
        rows : iterable of EndpointRow
        now_s : float
        excluded_ids, preferred_ids : collection of str, optional
        apart : bool, optional

        Returns
        -------
        EndpointRow or None
        """
        rows = [row for row in rows if row.endpoint_id not in excluded_ids and not row.leaving]
        if apart or not self._view.is_informed(rows, now_s):
            return self._health.choose(rows, now_s, frozenset(), preferred_ids, apart)
        rows = self._least_avoided(rows, now_s)
        usual_latency_s = self._usual_latency_s(rows)
        candidates = self._draw(rows, now_s)
        preferred = [row for row in rows if row.endpoint_id in preferred_ids]
        if preferred:
            candidates += self._draw(preferred, now_s)
        best = None
        best_cost = None
        for row in candidates:
            cost = self._cost(row, usual_latency_s, now_s)
            if row.endpoint_id in preferred_ids:
                cost /= 2
            if best_cost is None or cost < best_cost:
                best, best_cost = row, cost
        return best

    def _least_avoided(self, rows, now_s):
        """Return the endpoints that are neither ejected nor full nor at risk, or else the next."""
        rows_by_rank = {}
        for row in rows:
            health = self._health.for_endpoint(row.endpoint_id)
            is_avoided = max(health.ejected_until_s, health.full_until_s) > now_s
            is_avoided = is_avoided or self._view.is_full(row.endpoint_id, now_s)
            rank = (is_avoided, health.suspects_in_flight > 0)
            rows_by_rank.setdefault(rank, []).append(row)
        return rows_by_rank[min(rows_by_rank)]

    def _draw(self, rows, now_s):
        if len(rows) == 1:
            return list(rows)
        weights = [self._speed(row, now_s) for row in rows]
        return self._random.choices(rows, weights, k=CANDIDATES)

    def _speed(self, row, now_s):
        """Return an endpoint's speed as a multiple of the pool's mean."""
        mean = self._view.pool_load(row.pool).speed
        load = self._view.load(row.endpoint_id, now_s)
        if not mean or load is None or not load.speed:
            return 1.0
        return min(MAX_SPEED_FACTOR, max(1.0 / MAX_SPEED_FACTOR, load.speed / mean))

    def _usual_latency_s(self, rows):
        known_s = [self._health.for_endpoint(row.endpoint_id).latency_s for row in rows]
        return median([latency_s for latency_s in known_s if latency_s] or [0.0])

    def _cost(self, row, usual_latency_s, now_s):
        health = self._health.for_endpoint(row.endpoint_id)
        load = self._view.load(row.endpoint_id, now_s)
        slots = max(1, row.slots) if load is None else load.slots
        others = self._view.others(row, slots, now_s)
        drawn = max(0.0, self._random.gauss(others.mean, sqrt(others.variance)))
        share = (health.in_flight + drawn + 1.0) / slots
        if load is not None:
            share = max(share, load.cache_share)
        # Running requests don't slow each other much; those beyond the slots wait for their ends.
        cost = share if share <= 1.0 else 1.0 + (share - 1.0) / self._speed(row, now_s)
        if row.failure_domain != self._health.failure_domain:
            cost *= OTHER_DOMAIN_LOAD_FACTOR
        if usual_latency_s and health.latency_s > SLOW_FACTOR * usual_latency_s:
            cost *= health.latency_s / usual_latency_s
        success_rate = 1.0 - min(health.failure_rate, MAX_FAILURE_RATE)
        return cost / (success_rate * success_rate)
