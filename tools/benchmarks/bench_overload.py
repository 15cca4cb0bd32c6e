"""Measure goodput and lookup latency under overload, and engine crashes by one request."""

import random

from benchmarks.entry_simulation import DRAIN_S, EntrySimulation
from benchmarks.figure import Figure
from benchmarks.lookup_simulation import LookupSimulation

VIRTUAL_TIME = True
SEED = 51
ENDPOINTS = 4
SLOTS = 4
MEAN_SERVICE_S = 0.4
CAPACITY = ENDPOINTS * SLOTS / MEAN_SERVICE_S
RUN_S = 60.0
WARM_UP_S = 10.0
DEADLINES_S = (1.0, 2.0, 4.0)
GOODPUT_BOUND = 0.95
LOOKUP_BOUND = 1.5
CRASH_BOUND = 2.0
ENTRY_COUNTS = (1, 5, 29)
# A request that crashed three endpoints is not sent on.
LONELY_CRASH_BOUND = 3.0
POISON = "poison"
RESENDS = 60
RESEND_INTERVAL_S = 0.5


def service_s(source, message, node_id):
    """Return a run time in seconds: a fixed half of the mean plus an exponential half."""
    return MEAN_SERVICE_S * (0.5 + 0.5 * source.expovariate(1.0))


def goodput(load, modify=None, failure_rate=0.0, entry=""):
    """Return the number of requests per second that are answered within their deadlines.

    Parameters
    ----------
    load : float
        Request rate divided by capacity.
    modify : callable, optional
        Called with the coordinator before the run, to disable a mechanism.
    failure_rate : float, optional
        Fraction of the runs that fail.
    entry : str, optional
        INI lines of the ``entry`` section.

    Returns
    -------
    float
    """
    simulation = EntrySimulation(SEED, ENDPOINTS, SLOTS, service_s, entry=entry)
    simulation.endpoints.failure_rate = failure_rate
    if modify is not None:
        modify(simulation.coordinators[0])
    deadline_random = random.Random(SEED + 9)
    simulation.schedule_arrivals(
        load * CAPACITY, RUN_S, lambda: simulation.submit(deadline_random.choice(DEADLINES_S))
    )
    simulation.run(RUN_S + DRAIN_S)
    counted = [caller for caller in simulation.callers if caller.request.admitted_at >= WARM_UP_S]
    unresolved = [caller for caller in counted if not (caller.answered_at or caller.refusal)]
    if unresolved:
        raise AssertionError(f"{len(unresolved)} callers got neither an answer nor a refusal")
    return sum(caller.in_time for caller in counted) / (RUN_S - WARM_UP_S)


def endpoints_lost(entries=3, in_touch=True):
    """Count the engine crashes caused by one request that is sent repeatedly.

    Parameters
    ----------
    entries : int, optional
    in_touch : bool, optional
        Whether control hears of the crashes.

    Returns
    -------
    tuple of (int, float)
        Number of crashes, and the fraction of other requests answered in time.
    """
    simulation = EntrySimulation(SEED, ENDPOINTS * 2, SLOTS, service_s, entries)
    simulation.endpoints.poison_fingerprint = POISON
    simulation.endpoints.in_touch = in_touch
    deadline_random = random.Random(SEED + 9)

    def submit_bystander():
        entry = deadline_random.randrange(entries)
        simulation.submit(deadline_random.choice(DEADLINES_S), entry=entry)

    simulation.schedule_arrivals(CAPACITY / 2, RESENDS * RESEND_INTERVAL_S, submit_bystander)

    def resend(number):
        simulation.submit(DEADLINES_S[-1], POISON, number % entries, "sender")
        if number < RESENDS:
            simulation.clock.callLater(RESEND_INTERVAL_S, resend, number + 1)

    simulation.clock.callLater(2.0, resend, 0)
    simulation.run(RESENDS * RESEND_INTERVAL_S + DRAIN_S)
    others = [caller for caller in simulation.callers if caller.request.body != POISON.encode()]
    in_time = sum(caller.in_time for caller in others) / len(others)
    return simulation.endpoints.lost, in_time


def measure():
    """Yield the figures for overload and engine crashes."""
    at_capacity = goodput(1.0)
    overloaded = goodput(3.0)
    yield Figure(
        "overload.goodput_ratio",
        overloaded,
        "1/s",
        "at capacity",
        at_capacity,
        overloaded / at_capacity,
        GOODPUT_BOUND,
        "higher",
        SEED,
    )
    quiet = LookupSimulation(SEED).p99_s(rush=False)
    rush = LookupSimulation(SEED).p99_s(rush=True)
    yield Figure(
        "overload.lookup_p99_ratio",
        rush,
        "s",
        "quiet",
        quiet,
        rush / quiet,
        LOOKUP_BOUND,
        "lower",
        SEED,
    )
    lost, _ = endpoints_lost()
    yield _crash_figure("crash.endpoints_per_request", lost, CRASH_BOUND)
    for entries in ENTRY_COUNTS:
        lost, _ = endpoints_lost(entries, in_touch=False)
        name = f"crash.{entries}_entries_without_control.endpoints_per_request"
        yield _crash_figure(name, lost, LONELY_CRASH_BOUND)


def _crash_figure(name, value, bound):
    return Figure(name, value, "endpoints", "", None, None, bound, "lower", SEED)
