"""Measure how many engines prompts with a crashing part cost, and what sound requests notice."""

from benchmarks.crash_rounds import CrashRounds
from benchmarks.figure import Figure

VIRTUAL_TIME = True
SEEDS = range(271, 276)
# At most three may follow the fifth crash; sound requests begin half as often, at least.
SENDS_BOUND = 3
SOUND_BOUND = 0.5
REFUSAL_BOUND_S = 3.0
ENTRY_COUNTS = (1, 5)


def measure():
    """Yield the figures of the worst seed, with one entry and with several."""
    for entries in ENTRY_COUNTS:
        yield from _figures(entries, in_touch=True)
    yield from _figures(1, in_touch=False)


def _figures(entries, in_touch):
    results = [CrashRounds(seed, entries, in_touch).play() for seed in SEEDS]
    name = f"quarantine.{entries}_entries" + ("" if in_touch else "_without_control")
    sends = max(result.sends_after_fifth for result in results)
    yield _figure(f"{name}.sends_after_fifth_crash", sends, "requests", SENDS_BOUND, "lower")
    crashes = max(len(result.crash_times_s) for result in results)
    yield _figure(f"{name}.crashes", crashes, "engines", 5 + SENDS_BOUND, "lower")
    sound = min(result.sound_ratio for result in results)
    yield _figure(f"{name}.sound_ratio", round(sound, 3), "", SOUND_BOUND, "higher")
    refusal_s = max(result.slowest_refusal_s for result in results)
    yield _figure(f"{name}.refusal_s", round(refusal_s, 3), "s", REFUSAL_BOUND_S, "lower")


def _figure(name, value, unit, bound, better):
    return Figure(name, value, unit, "", None, None, bound, better, SEEDS[0])
