"""Reported loads of endpoints, and the loads that are expected now."""

from dataclasses import dataclass
from math import exp

# Reports older than this are not used.
MAX_REPORT_AGE_S = 3.0


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of one endpoint, as last reported.

    Attributes
    ----------
    at_s : float
        Time of the report by this entry's clock.
    requests : int
        Running and waiting requests.
    others : int
        Those of them that other entries sent.
    slots : int
        Number of requests that the endpoint runs concurrently.
    cache_share : float
        Share of the cache that can't be evicted.
    """

    at_s: float
    requests: int
    others: int
    slots: int
    cache_share: float


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Mean load of the endpoints of a pool whose loads are known.

    Attributes
    ----------
    others_share : float
        Requests of other entries per slot.
    speed : float or None
        Events that a running request makes per second.
    """

    others_share: float = 0.0
    speed: float | None = None


@dataclass(frozen=True, slots=True)
class ExpectedOthers:
    """Requests of other entries that are expected at an endpoint now.

    Attributes
    ----------
    mean, variance : float
    """

    mean: float
    variance: float


def expected_others(load, pool, slots, mean_run_s, now_s):
    """Return the requests of other entries that are expected at an endpoint now.

    Those that were reported end one by one, by the mean run time, and others take their place as
    they do on the average of the pool: the older a report, the less it counts.

    Parameters
    ----------
    load : ReportedLoad or None
        None if nothing is known; then the mean of the pool is expected.
    pool : PoolLoad
    slots : int
    mean_run_s : float
        Mean run time of a request.
    now_s : float

    Returns
    -------
    ExpectedOthers
    """
    mean_others = pool.others_share * slots
    if load is None:
        return ExpectedOthers(mean_others, mean_others)
    kept = exp(-max(0.0, now_s - load.at_s) / mean_run_s)
    mean = load.others * kept + mean_others * (1.0 - kept)
    variance = load.others * kept * (1.0 - kept) + mean_others * (1.0 - kept)
    return ExpectedOthers(mean, variance)
