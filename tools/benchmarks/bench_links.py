"""Measure how soon changes are in force after connections went silent, and what renewals cost."""

import logging

from benchmarks.figure import Figure
from benchmarks.link_network import Direction
from benchmarks.link_processes import MEMBERS
from benchmarks.link_rounds import LinkRounds, LinkScenario

VIRTUAL_TIME = True
SEED = 331
SEEDS = range(SEED, SEED + 3)
ENTRY_COUNTS = (1, 5, 29)
# The users take an entry to be in touch 3 s after its connections went silent, and a change to be
# in force 2 s after its acknowledgement; they aim at 1 s.
IN_FORCE_BOUND_S = 1.0
# A heartbeat interval longer.
OUT_OF_TOUCH_BOUND_S = 1.5
MANY_NODES = 300
LARGE_TABLE_ROWS = 20_000
LARGE_TABLE_BYTES_PER_S = 500_000
# Its rows take 2.3 s at that rate.
LARGE_TABLE_BOUND_S = 3.3
QUIET_S = 60.0
EVENT_S = 10.0


def measure():
    """Yield the worst figures by number of entries and direction, and what slow peers notice."""
    logging.disable(logging.WARNING)
    try:
        for entries in ENTRY_COUNTS:
            for direction in Direction:
                yield from _silent(entries, direction)
        yield from _slow_peers()
        yield from _quiet()
    finally:
        logging.disable(logging.NOTSET)


def _silent(entries, direction):
    slowest_s = 0.0
    out_of_touch_s = 0.0
    missed = 0
    for seed in SEEDS:
        for leader in range(len(MEMBERS)):
            offset_s = (seed - SEED) * 0.17
            moments = (6.0 + offset_s, 12.5 + offset_s)
            scenario = LinkScenario(entries, leader, direction, moments)
            result = LinkRounds(seed, scenario).play()
            slowest_s = max(slowest_s, result.slowest_s)
            out_of_touch_s = max(out_of_touch_s, result.out_of_touch_s)
            missed += result.missed
    name = f"links.{entries}_entries.silent_{direction.value}"
    yield _figure(f"{name}.in_force_s", slowest_s, "s", IN_FORCE_BOUND_S)
    yield _figure(f"{name}.out_of_touch_s", out_of_touch_s, "s", OUT_OF_TOUCH_BOUND_S)
    yield _figure(f"{name}.missed", missed, "changes", 0.0)


def _slow_peers():
    for paused_s in (1.0, 3.0):
        result = LinkRounds(SEED, LinkScenario(29, paused_s=paused_s)).play()
        name = f"links.leader_paused_{paused_s:g}_s"
        yield _figure(f"{name}.frames_lost", result.lost, "frames", 0.0)
        yield _figure(f"{name}.missed", result.missed, "changes", 0.0)
    scenario = LinkScenario(5, paused_s=3.0, pauses_entry=True)
    result = LinkRounds(SEED, scenario).play()
    yield _figure("links.entry_paused_3_s.frames_lost", result.lost, "frames", 0.0)
    yield from _large_table()
    scenario = LinkScenario(MANY_NODES, paused_s=1.0, pause_at_s=6.0, play_s=12.0)
    result = LinkRounds(SEED, scenario).play()
    name = f"links.{MANY_NODES}_nodes_leader_paused_1_s"
    yield _figure(f"{name}.frames_lost", result.lost, "frames", 0.0)
    # Each node renews both directions of its connection with the leader, and may ask all members.
    allowed = 2 * len(MEMBERS) * MANY_NODES
    yield _figure(f"{name}.connections_opened", result.opened_after_event, "connections", allowed)


def _large_table():
    """Yield how soon a table is in force that takes longer than answers are waited for."""
    scenario = LinkScenario(
        5, rows=LARGE_TABLE_ROWS, bytes_per_s=LARGE_TABLE_BYTES_PER_S, change_s=0.0, play_s=12.0
    )
    result = LinkRounds(SEED, scenario).play()
    yield _figure("links.large_table.in_force_s", result.slowest_s, "s", LARGE_TABLE_BOUND_S)
    yield _figure("links.large_table.missed", result.missed, "changes", 0.0)


def _quiet():
    scenario = LinkScenario(5, pause_at_s=EVENT_S, play_s=EVENT_S + QUIET_S)
    result = LinkRounds(SEED, scenario).play()
    opened = result.opened_after_event
    yield _figure("links.quiet_minute.connections_opened", opened, "connections", 0.0)


def _figure(name, value, unit, bound):
    return Figure(name, round(value, 3), unit, "", None, None, bound, "lower", SEED)
