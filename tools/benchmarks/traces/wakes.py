"""Measure cold starts of many models at once, and of one model requested by many entries."""

import heapq

from benchmarks.traces.generate import START_MS
from benchmarks.traces.store import SharedStore
from hemlockdock_control.loading import Tier
from hemlockdock_control.loading.load_times import nominal_load_ms
from hemlockdock_control.placement import (
    EndpointView,
    PlannerView,
    ReplicaView,
    WaitingRequestsView,
)
from hemlockdock_core.commands import DecideLoad
from hemlockdock_core.rows import ReplicaState

ENTRIES = 50
MODELS = 40
ROUND_INTERVAL_MS = 100
DEADLINE_MS = 8 * 3_600_000


def count_burst_loads(planner, trace):
    """Return the number of loads decided while 50 entries request one cold model.

    One entry's wish arrives in each decision round, and the model does not become ready in
    between.

    Parameters
    ----------
    planner : Planner
    trace : Trace

    Returns
    -------
    int
    """
    model = trace.models[0]
    view = _empty_view(trace)
    loads = 0
    for round_number in range(ENTRIES):
        now_ms = START_MS + round_number * ROUND_INTERVAL_MS
        deadline_ms = now_ms + DEADLINE_MS
        view.waiting_requests.append(
            WaitingRequestsView(model.name, "", 4, deadline_ms, 50, now_ms)
        )
        loads += len(_apply_decisions(planner, view, now_ms))
    return loads


def wake_models(planner, trace, store, slowdown=1.0):
    """Load 40 models whose checkpoints are only in the store, and return the time it takes.

    Parameters
    ----------
    planner : Planner
    trace : Trace
    store : hemlockdock_core.settings.sections.StoreSection
    slowdown : float, optional
        Factor by which the store is slower than nominal.

    Returns
    -------
    (float, list of float)
        Time in milliseconds until the last model is ready, and the load time of each model at
        full speed.
    """
    view = _empty_view(trace, memory_mb=10 * trace.hosts[0].memory_mb)
    models = trace.models[:MODELS]
    load_times_ms = {}
    for model in models:
        version = model.version_by_name[model.serve]
        load_times_ms[model.name] = nominal_load_ms(Tier.REMOTE, version.checkpoint_mb)
        deadline_ms = START_MS + DEADLINE_MS
        view.waiting_requests.append(
            WaitingRequestsView(model.name, "", 1, deadline_ms, 50, START_MS)
        )
    shared_store = SharedStore(store.loads_full_speed)
    shared_store.slowdown = slowdown
    rounds = [START_MS]
    now_ms = START_MS
    while view.waiting_requests:
        finish_ms = shared_store.next_finish_ms()
        now_ms = heapq.heappop(rounds)
        if finish_ms is not None and finish_ms < now_ms:
            heapq.heappush(rounds, now_ms)
            now_ms = finish_ms
        shared_store.advance(now_ms)
        _finish_loads(planner, view, shared_store, now_ms)
        if not rounds or rounds[0] > now_ms + ROUND_INTERVAL_MS:
            heapq.heappush(rounds, now_ms + ROUND_INTERVAL_MS)
        if now_ms != finish_ms:
            for replica in _apply_decisions(planner, view, round(now_ms)):
                shared_store.remaining_ms_by_id[replica.replica_id] = load_times_ms[replica.model]
    return now_ms - START_MS, list(load_times_ms.values())


def _empty_view(trace, memory_mb=None):
    endpoints = [
        EndpointView(
            node_id=spec.node_id,
            incarnation=1,
            host=spec.node_id,
            failure_domain=spec.failure_domain,
            group=spec.group,
            memory_mb=memory_mb or spec.memory_mb,
            reserved_mb=0,
        )
        for spec in trace.hosts
    ]
    return PlannerView(
        model_by_name={model.name: model for model in trace.models},
        endpoint_by_id={endpoint.node_id: endpoint for endpoint in endpoints},
    )


def _apply_decisions(planner, view, now_ms):
    decided = []
    for command in planner.decide(view, now_ms):
        if not isinstance(command, DecideLoad):
            continue
        replica = ReplicaView(
            replica_id=f"r{len(view.replica_by_id)}",
            model=command.model,
            version=command.version,
            node_id=command.node_id,
            state=ReplicaState.LOADING,
            decided_at_ms=now_ms,
        )
        view.replica_by_id[replica.replica_id] = replica
        decided.append(replica)
    return decided


def _finish_loads(planner, view, shared_store, now_ms):
    for replica_id in shared_store.finished_ids():
        del shared_store.remaining_ms_by_id[replica_id]
        replica = view.replica_by_id[replica_id]
        planner.observe_load(view, replica_id, round(now_ms) - replica.decided_at_ms)
        view.replica_by_id[replica_id] = ReplicaView(
            replica_id=replica_id,
            model=replica.model,
            version=replica.version,
            node_id=replica.node_id,
            state=ReplicaState.READY,
            decided_at_ms=replica.decided_at_ms,
            ready_at_ms=round(now_ms),
            last_used_ms=round(now_ms),
        )
        view.waiting_requests = [
            wish for wish in view.waiting_requests if wish.model != replica.model
        ]
