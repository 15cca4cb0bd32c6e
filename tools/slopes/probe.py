"""Measure memory and processor time of a piece of code."""

import gc
import statistics
import time
import tracemalloc

REPEATS = 5
MICROSECONDS_PER_SECOND = 1_000_000


def allocated_bytes(make):
    """Return the bytes that what a function makes holds.

    Parameters
    ----------
    make : callable

    Returns
    -------
    int
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def processor_us(work):
    """Return the processor time of a call, the median of several.

    Parameters
    ----------
    work : callable

    Returns
    -------
    float
        Microseconds.
    """
    taken = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        taken.append(time.process_time() - started)
    return statistics.median(taken) * MICROSECONDS_PER_SECOND
