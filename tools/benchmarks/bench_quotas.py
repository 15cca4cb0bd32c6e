"""Measure how entries together keep to a customer's quota, and how much of it they use."""

import logging

from benchmarks.figure import Figure
from benchmarks.quota_rounds import QuotaEvent, QuotaRounds, QuotaScenario

VIRTUAL_TIME = True
SEED = 401
ENTRY_COUNTS = (1, 5, 30, 300)
# Tokens per second and burst: small and larger customers, without a burst and with one. A request
# of the smallest takes a second of its rate.
QUOTAS = ((1_000.0, 0.0), (10_000.0, 0.0), (10_000.0, 40_000.0))
EVENTS = tuple(event for event in QuotaEvent if event is not QuotaEvent.NONE)
USED_BOUND = 0.9
# Of the clients that retry when told, while the leader stays and the quota is not lowered.
KEPT_BOUND = 1.0
REFUSAL_BOUND_S = 0.25
REPLY_BOUND_B_PER_S = 2_000.0
BELOW = 0.6
# Demand of three times the quota, and somewhat more than it.
LOADS = (3.0, 1.5)
# Plays of more entries take long: fewer of them.
MANY_ENTRIES = 300
MANY_PLAY_S = 24.0


def measure():
    """Yield the worst figures by number of entries, in touch with the leader and otherwise."""
    logging.disable(logging.WARNING)
    try:
        for entries in ENTRY_COUNTS:
            yield from _in_touch(entries)
            yield from _below_quota(entries)
        for event in EVENTS:
            yield from _event(event)
    finally:
        logging.disable(logging.NOTSET)


def play(scenario):
    """Play a scenario.

    Parameters
    ----------
    scenario : QuotaScenario

    Returns
    -------
    QuotaResult
    """
    return QuotaRounds(SEED, scenario).play()


def _in_touch(entries):
    results = []
    loads = LOADS[:1] if entries == MANY_ENTRIES else LOADS
    for per_s, burst in QUOTAS:
        for uneven in (False, True):
            for load in loads:
                results.append(play(_scenario(entries, per_s, burst, load=load, uneven=uneven)))
    name = f"quotas.{entries}_entries"
    yield _most(f"{name}.most_in_8_s", [result.excess for result in results])
    used = min(result.used for result in results)
    yield _figure(f"{name}.used", used, "of the quota", USED_BOUND, "higher")
    kept = sum(result.kept for result in results) / sum(result.returned for result in results)
    yield _figure(f"{name}.times_kept", kept, "of those told", KEPT_BOUND, "higher")
    slowest_s = max(result.slowest_refusal_s for result in results)
    yield _figure(f"{name}.refusal_s", slowest_s, "s", REFUSAL_BOUND_S, "lower")
    bytes_per_s = max(result.reply_bytes_per_s for result in results)
    yield _figure(f"{name}.replies", bytes_per_s, "B/s", REPLY_BOUND_B_PER_S, "lower")


def _below_quota(entries):
    refused = 0
    messages = 0.0
    for uneven in (False, True):
        result = play(_scenario(entries, 10_000.0, 40_000.0, load=BELOW, uneven=uneven))
        refused += result.refused + result.unanswered
        messages = max(messages, result.messages_per_request)
    name = f"quotas.{entries}_entries.below_quota"
    yield _figure(f"{name}.refused", refused, "requests", 0.0, "lower")
    # A message for the request, and one for credit.
    yield _figure(f"{name}.messages", messages, "per request", 2.0, "lower")


def _event(event):
    excess = []
    for entries in ENTRY_COUNTS[1:]:
        for per_s, burst in (QUOTAS[-1],) if entries == MANY_ENTRIES else (QUOTAS[0], QUOTAS[-1]):
            for uneven in (False,) if entries == MANY_ENTRIES else (False, True):
                scenario = _scenario(entries, per_s, burst, uneven=uneven, event=event)
                excess.append(play(scenario).excess)
    yield _most(f"quotas.{event}.most_in_8_s", excess)


def _scenario(entries, per_s, burst, **more):
    if entries == MANY_ENTRIES:
        more["play_s"] = MANY_PLAY_S
    return QuotaScenario(entries, per_s, burst, **more)


def _most(name, shares):
    return _figure(name, max(shares), "of what is allowed", 1.0, "lower")


def _figure(name, value, unit, bound, better):
    return Figure(name, round(value, 3), unit, "", None, None, bound, better, SEED)
