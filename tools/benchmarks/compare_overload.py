"""Measure the request path with and without each of its mechanisms, on the same traces.

Run as ``PYTHONPATH=tools:... python -m benchmarks.compare_overload``.
"""

import random
from collections import OrderedDict
from contextlib import contextmanager

from benchmarks.bench_overload import CAPACITY, ENDPOINTS, SEED, SLOTS, goodput
from benchmarks.entry_simulation import DRAIN_S, EntrySimulation
from benchmarks.lookup_simulation import LookupSimulation
from hemlockdock_entry.routing import Router
from hemlockdock_entry.waiting import model_queues, service_times
from hemlockdock_entry.waiting.queue import WaitingQueue

LOADS = (1.0, 3.0)
FAILURE_RATE = 0.3
SLOW_FRACTION = 0.02
HEDGE_MS = 20
PREFIXES = (16, 64, 256)
CACHED_PREFIXES = 8
HIT_S = 0.25
MISS_S = 0.45
AFFINITY_LOADS = (0.5, 1.0)
AFFINITY_RUN_S = 40.0


@contextmanager
def patched_attribute(owner, name, value):
    """Replace an attribute of a class or module within a context.

    Parameters
    ----------
    owner : object
    name : str
    value : object
    """
    before = owner.__dict__[name]
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


def goodput_first_come(load):
    """Return the goodput with waiting requests served in order of arrival."""
    arrival_key = staticmethod(lambda request: (request.admitted_at, request.request_id))

    def scheduling_key(request):
        return (-request.priority, request.admitted_at, request.request_id)

    with (
        patched_attribute(WaitingQueue, "_sort_key", arrival_key),
        patched_attribute(model_queues, "_scheduling_key", scheduling_key),
    ):
        return goodput(load)


def disable_early_refusal(coordinator):
    """Disable the refusal of requests that are expected to miss their deadline."""
    coordinator.admission.deadline_refusal = lambda request, ahead: None


def print_row(name, values):
    """Print one row of figures."""
    print(f"{name:44}", *(f"{value:8.3f}" for value in values), flush=True)


class AffinityRouter(Router):
    """Prefer the replica that last ran a request with the same prefix, if it has a free slot."""

    def __init__(self, failure_domain, random_source):
        super().__init__(failure_domain, random_source)
        self._last_by_prefix = {}

    def choose(self, table, request, now, avoided_nodes=(), suspect=False):
        """Return a replica with a free slot, or None."""
        chosen = super().choose(table, request, now, avoided_nodes, suspect)
        if chosen is None:
            return None
        last = table.replica_by_id.get(self._last_by_prefix.get(request.body))
        if last is not None and self.in_flight(last.replica_id) < last.requests_per_replica:
            chosen = last
        self._last_by_prefix[request.body] = chosen.replica_id
        return chosen


def mean_answer_time_s(load, prefixes, router_type):
    """Return the mean answer time in seconds with a prefix cache in each engine."""
    cache_by_node = {}

    def service_s(source, message, node_id):
        cache = cache_by_node.setdefault(node_id, OrderedDict())
        hit = message.body in cache
        cache[message.body] = True
        cache.move_to_end(message.body)
        if len(cache) > CACHED_PREFIXES:
            cache.popitem(last=False)
        return (HIT_S if hit else MISS_S) * (0.5 + 0.5 * source.expovariate(1.0))

    simulation = EntrySimulation(SEED, ENDPOINTS, SLOTS, service_s)
    simulation.coordinators[0].router = router_type("a", random.Random(SEED))
    source = random.Random(SEED + 9)
    rate = load * CAPACITY

    def submit():
        simulation.submit(8.0, body=f"prefix-{source.randrange(prefixes)}")

    simulation.schedule_arrivals(rate, AFFINITY_RUN_S, submit)
    simulation.run(AFFINITY_RUN_S + DRAIN_S)
    answered = [caller for caller in simulation.callers if caller.answered_at]
    return sum(caller.answered_at - caller.request.admitted_at for caller in answered) / len(
        answered
    )


def main():
    """Print the figures with and without each mechanism."""
    print("goodput (answered in time a second) at", *LOADS, "times capacity")
    print_row("as built", [goodput(load) for load in LOADS])
    print_row("first come, first served", [goodput_first_come(load) for load in LOADS])
    print_row("no early refusal", [goodput(load, disable_early_refusal) for load in LOADS])
    with patched_attribute(service_times, "DEVIATION_FACTOR", 0.0):
        print_row("early refusal by mean times only", [goodput(load) for load in LOADS])
    print(f"goodput where {FAILURE_RATE:.0%} of the runs fail")
    for budget in (0.0, 0.1, 0.3, 1.0):
        entry = f"retry_budget = {budget}"
        row = [goodput(load, failure_rate=FAILURE_RATE, entry=entry) for load in (0.6, 3.0)]
        print_row(f"retry budget {budget} (at 0.6 and 3)", row)
    print(f"lookups' p99 in ms where {SLOW_FRACTION:.0%} of the calls are slow")
    for hedge_ms in (0, HEDGE_MS):
        simulation = LookupSimulation(SEED, SLOW_FRACTION, f"hedge_after_ms = {hedge_ms}")
        print_row(f"hedge after {hedge_ms} ms (0 is off)", [simulation.p99_s(False) * 1_000])
    print("mean answer time in ms with prefix caches, at", *AFFINITY_LOADS, "times capacity")
    for prefixes in PREFIXES:
        for router_type in (Router, AffinityRouter):
            row = [
                mean_answer_time_s(load, prefixes, router_type) * 1_000 for load in AFFINITY_LOADS
            ]
            print_row(f"{prefixes} prefixes, {router_type.__name__}", row)


if __name__ == "__main__":
    main()
