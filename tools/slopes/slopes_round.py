"""Measure the time of a decision round over the number of endpoints."""

from benchmarks.bench_policy import round_cost

from slopes.slope import Slope

SIZES = (150, 300, 600)
MICROSECONDS_PER_MS = 1_000


def measure():
    """Yield the slopes of idle and busy rounds, with 110 models and 11,000 adapters."""
    rows = round_cost(SIZES)
    sizes = [row[0] for row in rows]
    idle = [row[1] * MICROSECONDS_PER_MS for row in rows]
    busy = [row[2] * MICROSECONDS_PER_MS for row in rows]
    yield Slope.fit("decision round, nothing changed", "us per endpoint", sizes, idle)
    yield Slope.fit("decision round, ten models to wake", "us per endpoint", sizes, busy)
