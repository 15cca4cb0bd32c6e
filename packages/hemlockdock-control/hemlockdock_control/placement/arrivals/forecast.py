"""Weigh the probability of a request against the cost of keeping a replica for it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Forecast:
    """Describe the expected gain of keeping a replica loaded for some time.

    Attributes
    ----------
    source : str
        Name of the predictor, as shown to operators.
    horizon_ms : float
        Longest time to keep the replica.
    probability : float
        Probability of a request within that time.
    expected_hold_ms : float
        Expected time until the request, or until the horizon.
    gain_ms : float
        Expected cost of the avoided cold start, minus the cost of keeping the replica.
    """

    source: str
    horizon_ms: float
    probability: float
    expected_hold_ms: float
    gain_ms: float


def best_forecast(source, points, cold_start_cost_ms, hold_cost):
    """Return the forecast for the horizon with the highest gain.

    Parameters
    ----------
    source : str
    points : iterable of (float, float)
        Time from now in milliseconds and the cumulative probability of a request, ascending.
    cold_start_cost_ms : float
        Cost of the cold start that is avoided.
    hold_cost : float

    Returns
    -------
    Forecast or None
        None if there are no points.
    """
    best = None
    last_ms = 0.0
    last_probability = 0.0
    expected_hold_ms = 0.0
    for horizon_ms, probability in points:
        expected_hold_ms += (horizon_ms - last_ms) * (1.0 - (probability + last_probability) / 2.0)
        gain_ms = probability * cold_start_cost_ms - hold_cost * expected_hold_ms
        if best is None or gain_ms > best.gain_ms:
            best = Forecast(source, horizon_ms, probability, expected_hold_ms, gain_ms)
        last_ms, last_probability = horizon_ms, probability
    return best
