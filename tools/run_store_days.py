"""Simulate days with crashes and elections, and print how the weight store served absent models."""

import argparse
import logging
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from hemlockdock_cli.lab.absent_models import day_scenario, simulate_day
from hemlockdock_control.fleet.model_choice import ModelChoice

# Duration of a load in seconds, and number of loads at full speed.
STORES = ((13.2, 1), (13.2, 4), (6.0, 4))


def simulate(seed, store_load_s, full_speed_loads):
    """Simulate the day of one seed.

    Parameters
    ----------
    seed : int
    store_load_s : float
    full_speed_loads : int

    Returns
    -------
    AbsentModelsRow
    """
    logging.disable(logging.CRITICAL)
    return simulate_day(day_scenario(store_load_s, full_speed_loads), ModelChoice, seed)


def summary(rows):
    """Return a line on the days of one store.

    Parameters
    ----------
    rows : list of AbsentModelsRow

    Returns
    -------
    str
    """
    never_served = sum(row.never_served for row in rows) / len(rows)
    bound = sum(row.bound for row in rows) / len(rows)
    answered = sum(row.answered for row in rows) / len(rows)
    most = max(row.never_served - row.bound for row in rows)
    return (
        f"{len(rows)} days: never served {never_served:.2f}, bound {bound:.2f}, "
        f"at most {most} above it; answered for absent models {answered:.1f}"
    )


def main():
    """Print a line for each kind of store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=24, help="number of days a store")
    parser.add_argument("--jobs", type=int, default=4, help="number of processes")
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    with ProcessPoolExecutor(options.jobs) as pool:
        for store_load_s, full_speed_loads in STORES:
            day = partial(simulate, store_load_s=store_load_s, full_speed_loads=full_speed_loads)
            rows = list(pool.map(day, seeds))
            print(f"{full_speed_loads} loads of {store_load_s} s: {summary(rows)}", flush=True)


if __name__ == "__main__":
    main()
