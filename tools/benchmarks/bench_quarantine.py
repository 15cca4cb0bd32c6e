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
LONELY_ENTRY_COUNTS = (1, 5, 29)
# Control is out of touch for 16 s from just before the first bad request.
CONTROL_LOST_S = (9.0, 25.0)


def measure():
    """Yield the figures of the worst seed, with one entry and with several."""
    for entries in ENTRY_COUNTS:
        yield from _figures(entries, "")
    for entries in LONELY_ENTRY_COUNTS:
        yield from _figures(entries, "_without_control", in_touch=False)
        yield from _figures(entries, "_control_lost", lost_s=CONTROL_LOST_S)
        yield from _one_request(entries, "_without_control", in_touch=False)
        yield from _one_request(entries, "_control_lost", lost_s=CONTROL_LOST_S)


def _one_request(entries, suffix, **contact):
    """Yield the figures of one request that is sent again and again."""
    results = [CrashRounds(seed, entries, repeats_one=True, **contact).play() for seed in SEEDS]
    name = f"quarantine.{entries}_entries{suffix}.one_request"
    sends = max(result.sends_after_third for result in results)
    yield _figure(f"{name}.sends_after_third_crash", sends, "requests", SENDS_BOUND, "lower")
    sound = min(result.sound_ratio for result in results)
    yield _figure(f"{name}.sound_ratio", round(sound, 3), "", SOUND_BOUND, "higher")


def _figures(entries, suffix, **contact):
    results = [CrashRounds(seed, entries, **contact).play() for seed in SEEDS]
    name = f"quarantine.{entries}_entries{suffix}"
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
