"""Simulate the arrival, waiting and execution of a trace's requests in virtual time."""

import heapq
import itertools
import random

from benchmarks.traces.score import Score
from benchmarks.traces.state import Host
from benchmarks.traces.store import SharedStore
from hemlockdock_control.placement import PlannerView, WaitingRequestsView
from hemlockdock_core.rows import ReplicaState

ROUND_DELAY_MS = 100
PERIODIC_ROUND_MS = 20_000
UNLOAD_MS = 1_000
FIRST_REQUEST_GAP_MS = 60_000


class RequestReplay:
    """Run the event loop of a replay and simulate its requests.

    A subclass applies the planner's decisions.

    Attributes
    ----------
    score : Score
    now_ms : int
    """

    def __init__(self, trace, planner, store, weight):
        """Initialize the simulated hosts and an empty event queue.

        Parameters
        ----------
        trace : Trace
        planner : object with ``decide``, ``observe_arrivals`` and ``observe_load``
        store : hemlockdock_core.settings.sections.StoreSection
        weight : float
            The deployment's ``tail_cold_start``.
        """
        self._trace = trace
        self._planner = planner
        self._weight = weight
        self._random = random.Random(trace.seed)
        self._models = {model.name: model for model in trace.models}
        self._adapters = {adapter.name: adapter for adapter in trace.adapters}
        self._hosts = {spec.node_id: Host(spec) for spec in trace.hosts}
        self._endpoints = {node_id: host.view() for node_id, host in self._hosts.items()}
        self._replicas = {}
        self._by_model = {model.name: {} for model in trace.models}
        self._waiting = {}
        self._store = SharedStore(store.loads_full_speed)
        self._store_event_number = 0
        self._events = []
        self._event_sequence = itertools.count()
        self._replica_count = 0
        self._round_due_ms = None
        self._last_arrival_ms = {}
        self.score = Score()
        self.now_ms = 0

    def run(self):
        """Replay the whole trace and return its score.

        Returns
        -------
        Score
        """
        trace = self._trace
        self._schedule(trace.lost_from_ms, self._lose_domain, None)
        self._schedule(trace.lost_until_ms, self._return_domain, None)
        self._schedule(trace.arrivals[0].at_ms, self._run_periodic_round, None)
        for arrival in trace.arrivals:
            self._run_until(arrival.at_ms)
            self._handle_arrival(arrival)
        self._run_until(trace.end_ms)
        for replica in self._replicas.values():
            self._accrue_idle_time(replica)
        return self.score

    def _run_until(self, until_ms):
        events = self._events
        while events and events[0][0] <= until_ms:
            at_ms, _, handler, item = heapq.heappop(events)
            self.now_ms = at_ms
            handler(item)
        self.now_ms = until_ms

    def _schedule(self, at_ms, handler, item):
        heapq.heappush(self._events, (round(at_ms), next(self._event_sequence), handler, item))

    def _is_measured(self, at_ms):
        return at_ms >= self._trace.measured_from_ms

    def _run_periodic_round(self, _):
        self._schedule(self.now_ms + PERIODIC_ROUND_MS, self._run_periodic_round, None)
        if self._round_due_ms is None:
            self._round(None)

    def _schedule_round(self):
        if self._round_due_ms is None:
            self._round_due_ms = self.now_ms + ROUND_DELAY_MS
            self._schedule(self._round_due_ms, self._round, None)

    def _handle_arrival(self, arrival):
        last_ms = self._last_arrival_ms.get(arrival.model)
        is_first = last_ms is None or self.now_ms - last_ms >= FIRST_REQUEST_GAP_MS
        self._last_arrival_ms[arrival.model] = self.now_ms
        self._planner.observe_arrivals(arrival.model, 1, self.now_ms)
        if self._try_serve(arrival, is_first):
            return
        self._waiting.setdefault(arrival.model, []).append((arrival, is_first))
        self._schedule(self.now_ms + arrival.deadline_ms, self._expire_request, arrival)
        self._schedule_round()

    def _try_serve(self, arrival, is_first):
        best = None
        for replica in self._by_model[arrival.model].values():
            if replica.state is not ReplicaState.READY or self._hosts[replica.node_id].gone:
                continue
            if replica.in_flight >= self._models[arrival.model].requests_per_replica:
                continue
            if arrival.adapter and arrival.adapter not in replica.adapters:
                continue
            if best is None or replica.in_flight < best.in_flight:
                best = replica
        if best is None:
            return False
        if best.in_flight == 0:
            self._accrue_idle_time(best)
        best.in_flight += 1
        best.last_used_ms = self.now_ms
        self._schedule(self.now_ms + arrival.service_ms, self._finish_request, (best, arrival))
        self._record_first_wait(arrival, is_first, self.now_ms - arrival.at_ms)
        if self._is_measured(arrival.at_ms):
            self.score.served += 1
        return True

    def _record_first_wait(self, arrival, is_first, wait_ms):
        if is_first and self._is_measured(arrival.at_ms):
            self.score.first_waits_ms.append(wait_ms)

    def _expire_request(self, arrival):
        waiting = self._waiting.get(arrival.model, [])
        for index, (other, is_first) in enumerate(waiting):
            if other is not arrival:
                continue
            del waiting[index]
            self._record_first_wait(arrival, is_first, arrival.deadline_ms)
            if self._is_measured(arrival.at_ms):
                self.score.refused += 1
            return

    def _finish_request(self, item):
        replica, _ = item
        if replica.replica_id not in self._replicas or self._hosts[replica.node_id].gone:
            return
        self._accrue_idle_time(replica)
        replica.in_flight -= 1
        replica.last_used_ms = self.now_ms
        if replica.state is ReplicaState.UNLOADING and replica.in_flight == 0:
            self._schedule(self.now_ms + UNLOAD_MS, self._end, replica)
            return
        self._serve_waiting(replica.model)

    def _serve_waiting(self, model):
        waiting = self._waiting.get(model)
        if not waiting:
            return
        unserved = [item for item in waiting if not self._try_serve(*item)]
        self._waiting[model] = unserved
        if unserved:
            self._schedule_round()

    def _accrue_idle_time(self, replica):
        from_ms = max(replica.idle_counted_until_ms, self._trace.measured_from_ms)
        if replica.in_flight == 0 and not self._hosts[replica.node_id].gone:
            self.score.idle_ms += max(self.now_ms - from_ms, 0)
        replica.idle_counted_until_ms = self.now_ms

    def _planner_view(self):
        wishes = {}
        for waiting in self._waiting.values():
            for arrival, _ in waiting:
                key = (arrival.model, arrival.adapter, arrival.entry)
                deadline_at_ms = arrival.at_ms + arrival.deadline_ms
                count, earliest_ms, since_ms = wishes.get(key, (0, deadline_at_ms, arrival.at_ms))
                earliest_ms = min(earliest_ms, deadline_at_ms)
                wishes[key] = (count + 1, earliest_ms, min(since_ms, arrival.at_ms))
        return PlannerView(
            model_by_name=self._models,
            adapter_by_name=self._adapters,
            endpoint_by_id=self._endpoints,
            replica_by_id={key: replica.view() for key, replica in self._replicas.items()},
            waiting_requests=[
                WaitingRequestsView(model, adapter, count, earliest_ms, 50, since_ms)
                for (model, adapter, _), (count, earliest_ms, since_ms) in wishes.items()
            ],
            tail_cold_start=self._weight,
        )
