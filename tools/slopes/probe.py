"""Measure the memory and CPU time that a function uses."""

import gc
import statistics
import time
import tracemalloc

REPETITIONS = 5
MICROSECONDS_PER_SECOND = 1_000_000


def allocated_bytes(factory):
    """Return the bytes that stay allocated for the result of a function.

    Parameters
    ----------
    factory : callable

    Returns
    -------
    int
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = factory()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return after - before


def cpu_time_us(work):
    """Return the median CPU time of several calls.

    Parameters
    ----------
    work : callable

    Returns
    -------
    float
        Microseconds.
    """
    samples_s = []
    for _ in range(REPETITIONS):
        start_s = time.process_time()
        work()
        samples_s.append(time.process_time() - start_s)
    return statistics.median(samples_s) * MICROSECONDS_PER_SECOND
