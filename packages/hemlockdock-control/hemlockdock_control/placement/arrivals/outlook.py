"""Weigh the chance of a request against the time of holding a replica for it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Outlook:
    """Describe what holding a replica for a while is expected to bring.

    Attributes
    ----------
    source : str
        What it was learnt from.
    within_ms : float
        How long the replica would be held for, at most.
    chance : float
        That a request comes in that time.
    hold_ms : float
        Expected time until the request or the end.
    gain_ms : float
        Worth of the avoided cold start, less the price of holding.
    """

    source: str
    within_ms: float
    chance: float
    hold_ms: float
    gain_ms: float


def best_outlook(source, points, cold_start_ms, hold_price):
    """Find the time to hold that gains most.

    Parameters
    ----------
    source : str
    points : iterable of (float, float)
        Time from now in milliseconds, and the chance that a request comes by then; both grow.
    cold_start_ms : float
        What an avoided cold start is worth.
    hold_price : float

    Returns
    -------
    Outlook or None
        None where there are no points.
    """
    best = None
    last_ms = 0.0
    last_chance = 0.0
    hold_ms = 0.0
    for within_ms, chance in points:
        hold_ms += (within_ms - last_ms) * (1.0 - (chance + last_chance) / 2.0)
        gain_ms = chance * cold_start_ms - hold_price * hold_ms
        if best is None or gain_ms > best.gain_ms:
            best = Outlook(source, within_ms, chance, hold_ms, gain_ms)
        last_ms, last_chance = within_ms, chance
    return best
