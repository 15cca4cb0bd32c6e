"""Compare policies on the same loads."""

from dataclasses import dataclass

from hemlockdock_cli.lab.baselines import find_policy
from hemlockdock_cli.lab.scenario import SCENARIOS
from hemlockdock_cli.lab.world import LabWorld

PERCENT = 100.0
TAIL = 99.0
MS_PER_S = 1_000.0
PLOTTED_PERCENTS = (*(float(percent) for percent in range(1, 100)), 99.5, 99.9)


@dataclass(frozen=True, slots=True)
class LabRow:
    """Hold one class's outcome under one policy, over all seeds.

    Attributes
    ----------
    policy, traffic : str
    asked : int
    in_time, late, refused : float
        In percent.
    median_ms, tail_ms : int
        Wait for the first event.
    store_loads : int
        Of all classes together.
    wait_s_by_percent : tuple of (float, float)
        Percent of the served, and the wait that they don't exceed.
    """

    policy: str
    traffic: str
    asked: int
    in_time: float
    late: float
    refused: float
    median_ms: int
    tail_ms: int
    store_loads: int
    wait_s_by_percent: tuple = ()


def run_experiment(scenario, policies, seeds, length_s):
    """Play each seed under each policy.

    Parameters
    ----------
    scenario : str
    policies : list of str
    seeds : list of int
    length_s : float

    Returns
    -------
    list of LabRow

    Raises
    ------
    KeyError
        For an unknown scenario or policy.
    """
    rows = []
    for policy in policies:
        worlds = [
            LabWorld(SCENARIOS[scenario], find_policy(policy), seed, length_s).run()
            for seed in seeds
        ]
        loads = sum(world.store_loads for world in worlds)
        for traffic in worlds[0].result_by_class:
            results = [world.result_by_class[traffic] for world in worlds]
            rows.append(_row(policy, traffic, results, loads))
    return rows


def _row(policy, traffic, results, loads):
    asked = sum(result.asked for result in results)
    waits = results[0].wait_ms
    for result in results[1:]:
        waits.add(result.wait_ms)

    def percent(name):
        return PERCENT * sum(getattr(result, name) for result in results) / max(1, asked)

    return LabRow(
        policy,
        traffic,
        asked,
        percent("in_time"),
        percent("late"),
        percent("refused"),
        waits.get_value_at_percentile(50.0),
        waits.get_value_at_percentile(TAIL),
        loads,
        _waits(waits),
    )


def _waits(waits):
    if not waits.get_total_count():
        return ()
    shown = []
    for percent in PLOTTED_PERCENTS:
        shown.append((percent, waits.get_value_at_percentile(percent) / MS_PER_S))
    return tuple(shown)


def table(rows):
    """Return rows as the lines of a table.

    Parameters
    ----------
    rows : list of LabRow

    Returns
    -------
    list of str
    """
    head = f"{'policy':24} {'class':9} {'asked':>6} {'in time':>8} {'late':>6} {'refused':>8}"
    lines = [head + f" {'p50 ms':>8} {'p99 ms':>8} {'store loads':>12}"]
    for row in rows:
        name = row.policy[-24:]
        lines.append(
            f"{name:24} {row.traffic:9} {row.asked:6d} {row.in_time:7.1f}% {row.late:5.1f}% "
            f"{row.refused:7.1f}% {row.median_ms:8d} {row.tail_ms:8d} {row.store_loads:12d}"
        )
    return lines
