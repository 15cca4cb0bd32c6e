"""Choose endpoints by reported loads, however many entries have the same reports."""

from math import sqrt
from statistics import median

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.balancing.cost_factors import MAX_FAILURE_RATE, OTHER_DOMAIN_LOAD_FACTOR
from hemlockdock_entry.balancing.draw_weights import EndpointState, draw_weights
from hemlockdock_entry.balancing.reported_load import MAX_REPORT_AGE_S

# Endpoints drawn at random for a request.
CANDIDATES = 4
# A report may claim a speed within this factor of the pool's mean.
MAX_SPEED_FACTOR = 3.0
# First bytes that take this many times as long as is usual in the pool contradict a low load.
SLOW_FACTOR = 3.0
# An endpoint counts as full if its expected requests exceed its slots by this many standard
# deviations. At 0, entries with the same report leave and return together.
FULL_DEVIATIONS = 1.0


class LoadBalancer:
    """Draw a few endpoints by reported loads, and choose one by what this entry observed itself.

    Many entries that have the same reports spread their requests, as reports only set the weights
    of the draw. Without fresh reports, endpoints are chosen by the own observations alone.

    Parameters
    ----------
    view : LoadView
    health : EndpointHealthTracker
    """

    def __init__(self, view, health):
        self._view = view
        self._health = health
        self._random = health.random_source

    def has_room(self, row, max_in_flight, now_s, may_preempt=False):
        """Return whether an engine is expected to have a free slot.

        Parameters
        ----------
        row : EndpointRow
        max_in_flight : int
            Requests of this entry that an endpoint gets while its load is not known.
        now_s : float
        may_preempt : bool, optional
            Whether the request is of the highest urgency. Engines admit it ahead of all others, so
            that a wait for a free slot would only delay it.

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
        if may_preempt and in_flight < max_in_flight:
            return True
        mean_others = self._view.pool_load(row.pool).others_share * load.slots
        if in_flight + max(load.others, mean_others) + 1.0 <= load.slots:
            return True
        others = self._view.others(row, load.slots, now_s)
        least = others.mean - FULL_DEVIATIONS * sqrt(others.variance)
        return in_flight + least + 1.0 <= load.slots

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
        if apart or not self._view.has_recent_report(rows, now_s):
            return self._health.choose(rows, now_s, frozenset(), preferred_ids, apart)
        COUNTERS.increment("gateway_choices_by_load")
        rows = self._best_ranked(rows, now_s)
        if len(rows) == 1:
            return rows[0]
        factors = self._reliability_factors(rows)
        weights = self._weights(rows, now_s)
        weights = [weight * factor for weight, factor in zip(weights, factors, strict=True)]
        candidates = self._random.choices(range(len(rows)), weights, k=CANDIDATES)
        preferred = [number for number, row in enumerate(rows) if row.endpoint_id in preferred_ids]
        if preferred:
            preferred_weights = [weights[number] for number in preferred]
            candidates += self._random.choices(preferred, preferred_weights)
        best = None
        best_cost = None
        for number in candidates:
            row = rows[number]
            cost = self._own_cost(row) / factors[number]
            if row.endpoint_id in preferred_ids:
                cost /= 2
            if best_cost is None or cost < best_cost:
                best, best_cost = row, cost
        return best

    def _best_ranked(self, rows, now_s):
        """Return the endpoints of the best rank.

        Available ones come first, then those without suspect requests.
        """
        rows_by_rank = {}
        for row in rows:
            health = self._health.for_endpoint(row.endpoint_id)
            is_avoided = max(health.ejected_until_s, health.full_until_s) > now_s
            is_avoided = is_avoided or self._view.is_full(row.endpoint_id, now_s)
            rank = (is_avoided, health.suspects_in_flight > 0)
            rows_by_rank.setdefault(rank, []).append(row)
        return rows_by_rank[min(rows_by_rank)]

    def _weights(self, rows, now_s):
        states = []
        for row in rows:
            load = self._view.load(row.endpoint_id, now_s)
            in_flight = self._health.for_endpoint(row.endpoint_id).in_flight
            speed = self._speed(row)
            if load is None:
                slots = max(1, row.slots)
                others = self._view.pool_load(row.pool).others_share * slots
                states.append(EndpointState(in_flight, others, slots, speed, 0.0, MAX_REPORT_AGE_S))
                continue
            age_s = now_s - load.at_s
            states.append(
                EndpointState(in_flight, load.others, load.slots, speed, load.cache_share, age_s)
            )
        return draw_weights(states, self._view.mean_run_s(rows[0].pool))

    def _speed(self, row):
        """Return an endpoint's speed as a multiple of the pool's mean."""
        mean = self._view.pool_load(row.pool).speed
        speed = self._view.speed(row.endpoint_id)
        if not mean or not speed:
            return 1.0
        return min(MAX_SPEED_FACTOR, max(1.0 / MAX_SPEED_FACTOR, speed / mean))

    def _reliability_factors(self, rows):
        """Return factors that lower the weight of endpoints whose responses contradict reports.

        Parameters
        ----------
        rows : list of EndpointRow

        Returns
        -------
        list of float
        """
        healths = [self._health.for_endpoint(row.endpoint_id) for row in rows]
        known_s = [health.latency_s for health in healths if health.latency_s]
        slow_s = SLOW_FACTOR * median(known_s) if known_s else float("inf")
        factors = []
        for health in healths:
            success_rate = 1.0 - min(health.failure_rate, MAX_FAILURE_RATE)
            slowness = max(1.0, health.latency_s / slow_s)
            factors.append(success_rate * success_rate / (slowness * slowness))
        return factors

    def _own_cost(self, row):
        health = self._health.for_endpoint(row.endpoint_id)
        cost = (health.in_flight + 1) / max(1, row.slots)
        if row.failure_domain != self._health.failure_domain:
            cost *= OTHER_DOMAIN_LOAD_FACTOR
        return cost
