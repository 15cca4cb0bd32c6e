"""Compare placement policies on the same workloads."""

from dataclasses import dataclass

from hemlockdock_cli.lab.baselines import find_policy
from hemlockdock_cli.lab.scenario import SCENARIOS
from hemlockdock_cli.lab.simulation import Simulation

PERCENT = 100.0
TAIL_PERCENTILE = 99.0
MS_PER_S = 1_000.0
PLOTTED_PERCENTILES = (*(float(percent) for percent in range(1, 100)), 99.5, 99.9)


@dataclass(frozen=True, slots=True)
class ExperimentRow:
    """Outcome of one request class under one policy, over all seeds.

    Attributes
    ----------
    policy, traffic : str
    asked : int
        Number of requests.
    in_time, late, refused : float
        Shares of the requests, in percent.
    median_ms, tail_ms : int
        Median and 99th percentile of the wait for the first event.
    store_loads : int
        Loads from the weight store, for all classes together.
    wait_s_by_percent : tuple of (float, float)
        Percentiles of the wait of served requests.
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


def run_experiment(scenario, policies, seeds, duration_s):
    """Simulate each seed under each policy.

    Parameters
    ----------
    scenario : str
    policies : list of str
    seeds : list of int
    duration_s : float

    Returns
    -------
    list of ExperimentRow

    Raises
    ------
    KeyError
        If the scenario or a policy is unknown.
    """
    rows = []
    for policy in policies:
        simulations = [
            Simulation(SCENARIOS[scenario], find_policy(policy), seed, duration_s).run()
            for seed in seeds
        ]
        loads = sum(len(simulation.store_loads) for simulation in simulations)
        for traffic in simulations[0].result_by_class:
            results = [simulation.result_by_class[traffic] for simulation in simulations]
            rows.append(_row(policy, traffic, results, loads))
    return rows


def _row(policy, traffic, results, loads):
    asked = sum(result.asked for result in results)
    wait_histogram = results[0].wait_ms
    for result in results[1:]:
        wait_histogram.add(result.wait_ms)

    def percent(name):
        return PERCENT * sum(getattr(result, name) for result in results) / max(1, asked)

    return ExperimentRow(
        policy,
        traffic,
        asked,
        percent("in_time"),
        percent("late"),
        percent("refused"),
        wait_histogram.get_value_at_percentile(50.0),
        wait_histogram.get_value_at_percentile(TAIL_PERCENTILE),
        loads,
        _wait_percentiles(wait_histogram),
    )


def _wait_percentiles(wait_histogram):
    if not wait_histogram.get_total_count():
        return ()
    percentiles = []
    for percent in PLOTTED_PERCENTILES:
        percentiles.append((percent, wait_histogram.get_value_at_percentile(percent) / MS_PER_S))
    return tuple(percentiles)


def result_lines(rows):
    """Format rows as the lines of a table.

    Parameters
    ----------
    rows : list of ExperimentRow

    Returns
    -------
    list of str
    """
    header = f"{'policy':24} {'class':9} {'asked':>6} {'in time':>8} {'late':>6} {'refused':>8}"
    lines = [header + f" {'p50 ms':>8} {'p99 ms':>8} {'store loads':>12}"]
    for row in rows:
        name = row.policy[-24:]
        lines.append(
            f"{name:24} {row.traffic:9} {row.asked:6d} {row.in_time:7.1f}% {row.late:5.1f}% "
            f"{row.refused:7.1f}% {row.median_ms:8d} {row.tail_ms:8d} {row.store_loads:12d}"
        )
    return lines
