"""Disturbances of a simulated day: engines that crash or are replaced, and changes of leader."""

from dataclasses import dataclass

# Disturbances begin within this time after the first request.
LATEST_CRASH_S = 12.0
LATEST_REPLACEMENT_S = 20.0
CRASHES = 2


@dataclass(frozen=True, slots=True)
class EngineCrash:
    """Engines crash at once, and start again on their hosts.

    Attributes
    ----------
    at_s : float
    engines : tuple of str
    down_s : float
        Time for which they do not respond.
    """

    at_s: float
    engines: tuple
    down_s: float


@dataclass(frozen=True, slots=True)
class EngineReplacement:
    """Engines are lost with their hosts, and replaced by empty ones.

    Attributes
    ----------
    at_s : float
    engines : tuple of str
    """

    at_s: float
    engines: tuple


@dataclass(frozen=True, slots=True)
class LeaderLoss:
    """The leader is lost, and another control member is elected.

    Attributes
    ----------
    at_s : float
    """

    at_s: float


def draw_disturbances(rng, engines):
    """Draw the disturbances of one day.

    Parameters
    ----------
    rng : random.Random
    engines : list of str

    Returns
    -------
    list of EngineCrash, EngineReplacement or LeaderLoss
    """
    drawn = []
    for _ in range(CRASHES):
        at_s = rng.uniform(2.0, LATEST_CRASH_S)
        crashed = _sample(rng, engines, rng.uniform(0.1, 0.25))
        drawn.append(EngineCrash(at_s, crashed, rng.uniform(2.0, 5.0)))
    replaced = _sample(rng, engines, rng.uniform(0.05, 0.15))
    drawn.append(EngineReplacement(rng.uniform(3.0, LATEST_REPLACEMENT_S), replaced))
    for _ in range(rng.randint(1, 2)):
        drawn.append(LeaderLoss(rng.uniform(2.0, LATEST_CRASH_S)))
    return drawn


def _sample(rng, engines, share):
    return tuple(rng.sample(engines, max(1, round(share * len(engines)))))
