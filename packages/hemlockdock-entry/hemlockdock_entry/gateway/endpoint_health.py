"""Track the health of endpoints as seen by this entry, and select endpoints for requests."""

from dataclasses import dataclass

from hemlockdock_entry.balancing.cost_factors import MAX_FAILURE_RATE, OTHER_DOMAIN_LOAD_FACTOR
from hemlockdock_entry.ejection import ejection_s

# Weight of the latest sample in the exponentially weighted moving averages.
EWMA_WEIGHT = 0.15
FAILURES_BEFORE_EJECTION = 2
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Nearly all responses start within this multiple of the average latency.
FIRST_BYTE_TIMEOUT_FACTOR = 6.0


@dataclass(slots=True)
class EndpointHealth:
    """Health statistics of one endpoint as seen by this entry.

    Attributes
    ----------
    in_flight : int
        Requests of this entry in progress at the endpoint.
    suspects_in_flight : int
        Those of them that probably crash it.
    failure_rate : float
    latency_s : float
        Average time to the first byte; 0 before the first response.
    failures : int
        Consecutive failures.
    ejected_until_s : float
        Until then, the endpoint is selected only if no other is available.
    full_until_s : float
        Until then, the endpoint is treated as having no free capacity.
    """

    in_flight: int = 0
    suspects_in_flight: int = 0
    failure_rate: float = 0.0
    latency_s: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0
    full_until_s: float = 0.0

    def record_response(self, latency_s):
        """Record a successful response.

        Parameters
        ----------
        latency_s : float
        """
        self.failures = 0
        self.ejected_until_s = 0.0
        self.failure_rate -= EWMA_WEIGHT * self.failure_rate
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += EWMA_WEIGHT * (latency_s - self.latency_s)

    def first_byte_timeout_s(self, minimum_s):
        """Return the time to wait for the first byte before the endpoint is considered silent.

        Parameters
        ----------
        minimum_s : float

        Returns
        -------
        float
        """
        return max(minimum_s, FIRST_BYTE_TIMEOUT_FACTOR * self.latency_s)

    def record_failure(self, now_s):
        """Record a failure, and eject the endpoint after repeated failures.

        Parameters
        ----------
        now_s : float
        """
        self.failures += 1
        self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate)
        if self.failures >= FAILURES_BEFORE_EJECTION:
            doublings = self.failures - FAILURES_BEFORE_EJECTION
            duration_s = ejection_s(BASE_EJECTION_S, MAX_EJECTION_S, doublings)
            self.ejected_until_s = now_s + duration_s

    def record_full(self, now_s, pause_s):
        """Record that the endpoint had no free capacity.

        Parameters
        ----------
        now_s, pause_s : float
        """
        self.full_until_s = max(self.full_until_s, now_s + pause_s)


class EndpointHealthTracker:
    """Track the health of all endpoints, and select endpoints for requests.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random

    Attributes
    ----------
    failure_domain : str
    random_source : random.Random
    """

    def __init__(self, failure_domain, random_source):
        self.failure_domain = failure_domain
        self.random_source = random_source
        self.health_by_id = {}

    def for_endpoint(self, endpoint_id):
        """Return the health of an endpoint.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        EndpointHealth
        """
        health = self.health_by_id.get(endpoint_id)
        if health is None:
            health = EndpointHealth()
            self.health_by_id[endpoint_id] = health
        return health

    def choose(self, rows, now_s, excluded_ids=frozenset(), preferred_ids=frozenset(), apart=False):
        """Choose the endpoint with the lowest cost.

        Ejected and full endpoints, and those that run requests which probably crash them, are
        chosen only if there are no others; ties are broken at random.

        Parameters
        ----------
        rows : iterable of EndpointRow
        now_s : float
        excluded_ids : collection of str, optional
            Endpoint ids that are not chosen.
        preferred_ids : collection of str, optional
            Endpoint ids whose cost is halved.
        apart : bool, optional
            Whether the request probably crashes its endpoint. All entries choose the same endpoint
            for such requests.

        Returns
        -------
        EndpointRow or None
        """
        best = None
        best_rank = None
        for row in rows:
            if row.endpoint_id in excluded_ids or row.leaving:
                continue
            health = self.for_endpoint(row.endpoint_id)
            cost = self._cost(row, health, now_s)
            if row.endpoint_id in preferred_ids:
                cost /= 2
            is_avoided = max(health.ejected_until_s, health.full_until_s) > now_s
            rank = (is_avoided, health.suspects_in_flight > 0, cost, self.random_source.random())
            if apart:
                rank = (is_avoided, row.endpoint_id)
            if best_rank is None or rank < best_rank:
                best, best_rank = row, rank
        return best

    def remove_absent(self, endpoint_ids):
        """Remove endpoints that no longer exist and have no request in progress.

        Parameters
        ----------
        endpoint_ids : collection of str
            The existing endpoints.
        """
        for endpoint_id, health in list(self.health_by_id.items()):
            if endpoint_id not in endpoint_ids and not health.in_flight:
                del self.health_by_id[endpoint_id]

    def _cost(self, row, health, now_s):
        load = (health.in_flight + 1) / max(1, row.slots)
        if row.failure_domain != self.failure_domain:
            load *= OTHER_DOMAIN_LOAD_FACTOR
        success_rate = 1.0 - min(health.failure_rate, MAX_FAILURE_RATE)
        return load * (health.latency_s or 1.0) / (success_rate * success_rate)
