"""Measure how entries together keep to the limits of engines, and how much of them they use."""

import logging
from dataclasses import dataclass, field

from benchmarks.figure import Figure
from benchmarks.limit_rounds import LimitResult, LimitRounds, LimitScenario

VIRTUAL_TIME = True
SEED = 301
ENTRY_COUNTS = (1, 5, 29)
LIMITS_PER_S = (0.5, 1.8, 4.7, 40.0)
EVENTS = ("freeze", "leader", "cut", "no_control", "lift")
# Permits that a play at the lowest limit shows, so that one more or less is a small share.
MIN_PERMITS = 40
# The users allow this in 4 s.
ALLOWED_FACTOR = 6.0
ALLOWED_EXTRA = 5.0
USED_BOUND = 0.9
# A round trip to the leader; up to the timeout of a permit request if control is out of touch.
REFUSAL_BOUND_S = 0.25


@dataclass(slots=True)
class Worst:
    """The worst results of several plays.

    Attributes
    ----------
    excess : float
        Most requests in a window, as a share of what the users allow.
    used : float
    late_refusals, without_time : int
    slowest_refusal_s : float
    """

    excess: float = 0.0
    used: float = 1.0
    late_refusals: int = 0
    without_time: int = 0
    slowest_refusal_s: float = 0.0
    results: list = field(default_factory=list)

    def add(self, scenario, result):
        """Take in the result of a play.

        Parameters
        ----------
        scenario : LimitScenario
        result : LimitResult
        """
        allowed = ALLOWED_FACTOR * scenario.per_s + ALLOWED_EXTRA
        self.excess = max(self.excess, result.most_in_window / allowed)
        self.used = min(self.used, result.used)
        self.late_refusals += result.late_refusals
        self.without_time += result.without_time
        self.slowest_refusal_s = max(self.slowest_refusal_s, result.slowest_refusal_s)


def measure():
    """Yield the worst figures by number of entries, in touch with control and otherwise."""
    logging.disable(logging.WARNING)
    try:
        for entries in ENTRY_COUNTS:
            yield from _in_touch(entries)
        for event in EVENTS:
            yield from _event(event)
        yield from _other_endpoints()
    finally:
        logging.disable(logging.NOTSET)


def play(scenario):
    """Play a scenario.

    Parameters
    ----------
    scenario : LimitScenario

    Returns
    -------
    LimitResult
    """
    return LimitRounds(SEED, scenario).play()


def play_s(per_s):
    """Return how long a limit is played.

    Parameters
    ----------
    per_s : float

    Returns
    -------
    float
    """
    return max(24.0, MIN_PERMITS / per_s)


def _in_touch(entries):
    worst = Worst()
    for per_s in LIMITS_PER_S:
        for uneven in (False, True):
            for streams in (False, True):
                scenario = LimitScenario(
                    entries, per_s, uneven=uneven, streams=streams, play_s=play_s(per_s)
                )
                worst.add(scenario, play(scenario))
    name = f"limits.{entries}_entries"
    yield _figure(f"{name}.most_in_4_s", worst.excess, "of what is allowed", 1.0, "lower")
    yield _figure(f"{name}.used", worst.used, "of the limit", USED_BOUND, "higher")
    yield _figure(f"{name}.refusal_s", worst.slowest_refusal_s, "s", REFUSAL_BOUND_S, "lower")
    yield _figure(f"{name}.refusals_without_time", worst.without_time, "", 0.0, "lower")


def _event(event):
    worst = Worst()
    for entries in (5, 29):
        for per_s in (1.8, 4.7):
            for uneven in (False, True):
                scenario = LimitScenario(entries, per_s, uneven=uneven, event=event, play_s=40.0)
                worst.add(scenario, play(scenario))
    name = f"limits.{event}"
    yield _figure(f"{name}.most_in_4_s", worst.excess, "of what is allowed", 1.0, "lower")
    if event != "freeze":
        yield _figure(f"{name}.refusal_s", worst.slowest_refusal_s, "s", REFUSAL_BOUND_S, "lower")


def _other_endpoints():
    """Yield figures for a pool of which one engine is limited, and for one with limited engines."""
    for streams in (False, True):
        scenario = LimitScenario(5, 4.7, engines=3, load=6.0, streams=streams)
        result = play(scenario)
        kind = "streams" if streams else "plain"
        name = f"limits.one_of_three.{kind}.refused"
        yield _figure(name, result.refused, "requests", 0.0, "lower")
        scenario = LimitScenario(29, 1.8, engines=3, limited=3, streams=streams)
        result: LimitResult = play(scenario)
        name = f"limits.three_of_three.{kind}.used"
        yield _figure(name, result.used, "of the limits", USED_BOUND, "higher")


def _figure(name, value, unit, bound, better):
    return Figure(name, round(value, 3), unit, "", None, None, bound, better, SEED)
