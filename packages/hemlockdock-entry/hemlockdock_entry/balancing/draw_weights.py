"""Weights for the random choice of endpoints, which correct uneven loads without overshoot."""

import math
from dataclasses import dataclass

from hemlockdock_core.messages import SUMMARY_INTERVAL_S

# All entries correct a difference that is in a report until they see the effect. A correction
# spread over less than e times that delay makes the loads swing.
DELAY_FACTOR = math.e
# Own requests are known at once.
MIN_CORRECTION_S = 0.05
# A full endpoint still gets a few requests, as its report may be wrong.
MIN_WEIGHT = 0.02


@dataclass(frozen=True, slots=True)
class EndpointState:
    """What is known of an endpoint.

    Attributes
    ----------
    own : int
        Requests of this entry.
    others : float
        Requests of other entries, as last reported.
    slots : int
        Number of requests that it runs concurrently.
    speed : float
        As a multiple of the pool's mean.
    cache_share : float
        Share of the cache that can't be evicted.
    age_s : float
        Age of the report.
    """

    own: int
    others: float
    slots: int
    speed: float
    cache_share: float
    age_s: float


def draw_weights(states, mean_run_s):
    """Return the weights of endpoints.

    An endpoint gets as many requests as are expected to end there, in proportion to its mean load
    and its speed. Its surplus over the mean is corrected over a time that grows with the age
    of reports and with the others' share of all requests: others see the same difference and
    correct it too. This handles any number of entries, and reports a few seconds old.

    Parameters
    ----------
    states : list of EndpointState
    mean_run_s : float
        Mean run time of a request.

    Returns
    -------
    list of float
    """
    slots = sum(state.slots for state in states)
    own = sum(state.own for state in states)
    others = sum(state.others for state in states)
    mean_share = max((own + others) / slots, 1.0 / slots)
    others_part = others / max(1.0, own + others)
    weights = []
    for state in states:
        mean = mean_share * state.slots
        delay_s = state.age_s + SUMMARY_INTERVAL_S
        correction_s = MIN_CORRECTION_S + DELAY_FACTOR * others_part * delay_s
        expected_ends = mean * correction_s / mean_run_s
        requests = max(state.own + state.others, state.cache_share * state.slots)
        surplus = requests - mean
        weight = max(MIN_WEIGHT * expected_ends, expected_ends - surplus) / correction_s
        weights.append(weight * state.speed)
    return weights
