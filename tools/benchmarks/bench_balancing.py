"""Measure how evenly entries load endpoints of uneven speed by reports that are old."""

from benchmarks.balancing_rounds import BalancingRounds, BalancingScenario
from benchmarks.figure import Figure

VIRTUAL_TIME = True
SEED = 302
ENTRY_COUNTS = (1, 30, 300)
AGES_S = (0.2, 1.0, 2.0)
UNEVENNESS_BOUND = 1.3
# With fewer slots, a play takes a minute and not several. Summaries of limited size tell each
# endpoint once in 13 s.
MANY = {"endpoints": 600, "models": 30, "slots": 8, "play_s": 12.0, "warm_up_s": 14.0}
OTHER_POLICIES = ("health_tracker", "least_outstanding", "ideal")


def measure():
    """Yield the unevenness by number of entries and endpoints and by age, beside other policies."""
    for endpoints in (3, 29):
        for entries in ENTRY_COUNTS:
            yield from _figures(AGES_S, entries=entries, endpoints=endpoints)
    for entries in ENTRY_COUNTS:
        yield from _figures((2.0,), entries=entries, **MANY)


def play(policy, **values):
    """Play a scenario.

    Parameters
    ----------
    policy : str
    **values
        Passed to ``BalancingScenario``.

    Returns
    -------
    BalancingResult
    """
    return BalancingRounds(SEED, BalancingScenario(**values), policy).play()


def _figures(ages_s, **values):
    others = {policy: play(policy, age_s=0.0, **values) for policy in OTHER_POLICIES}
    compared = ", ".join(f"{policy} {_text(result)}" for policy, result in others.items())
    name = f"balancing.{values['entries']}_entries.{values['endpoints']}_endpoints"
    for age_s in ages_s:
        for is_limited in (False, True):
            result = play("reports", age_s=age_s, is_limited=is_limited, **values)
            yield Figure(
                f"{name}.{age_s}_s.{'summaries' if is_limited else 'all_reports'}",
                round(result.unevenness, 3),
                f"busiest over mean (work, requests at once, s waited: {_text(result)})",
                compared,
                round(others["health_tracker"].unevenness, 3),
                None,
                UNEVENNESS_BOUND,
                "lower",
                SEED,
            )


def _text(result):
    return f"{result.unevenness:.2f} {result.peak:.2f} {result.wait_s:.3f}"
