"""Replay a trace against a planner in virtual time."""

import heapq
import itertools
import random

from benchmarks.traces.score import Score
from benchmarks.traces.state import Host, Replica
from benchmarks.traces.store import SharedStore
from hemlockdock_control.loading import Tier
from hemlockdock_control.loading.load_times import nominal_load_ms
from hemlockdock_control.placement import PlannerView, WishView
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_core.commands import (
    DecideAdapter,
    DecideAdapterUnload,
    DecideLoad,
    DecideUnload,
)
from hemlockdock_core.rows import ReplicaState

ROUND_MS = 100
TIMER_MS = 20_000
UNLOAD_MS = 1_000
LOST_AFTER_MS = 2_000
CERTAIN_AFTER_MS = 30_000
FIRST_GAP_MS = 60_000


class Replay:
    """Replay a trace against a planner: a small event loop over virtual time.

    Attributes
    ----------
    score : Score
    now_ms : int
    """

    def __init__(self, trace, planner, store, weight):
        """Set the scene.

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
        self._store_turn = 0
        self._events = []
        self._order = itertools.count()
        self._replica_count = 0
        self._round_due_ms = None
        self._last_arrival_ms = {}
        self.score = Score()
        self.now_ms = 0

    def run(self):
        """Replay the whole trace.

        Returns
        -------
        Score
        """
        trace = self._trace
        self._push(trace.lost_from_ms, self._lose_domain, None)
        self._push(trace.lost_until_ms, self._return_domain, None)
        self._push(trace.arrivals[0].at_ms, self._timer, None)
        for arrival in trace.arrivals:
            self._run_until(arrival.at_ms)
            self._arrive(arrival)
        self._run_until(trace.end_ms)
        for replica in self._replicas.values():
            self._count_idle(replica)
        return self.score

    def _run_until(self, until_ms):
        events = self._events
        while events and events[0][0] <= until_ms:
            at_ms, _, act, item = heapq.heappop(events)
            self.now_ms = at_ms
            act(item)
        self.now_ms = until_ms

    def _push(self, at_ms, act, item):
        heapq.heappush(self._events, (round(at_ms), next(self._order), act, item))

    def _is_judged(self, at_ms):
        return at_ms >= self._trace.judged_from_ms

    def _timer(self, _):
        self._push(self.now_ms + TIMER_MS, self._timer, None)
        if self._round_due_ms is None:
            self._round(None)

    def _ask_round(self):
        if self._round_due_ms is None:
            self._round_due_ms = self.now_ms + ROUND_MS
            self._push(self._round_due_ms, self._round, None)

    def _arrive(self, arrival):
        last_ms = self._last_arrival_ms.get(arrival.model)
        is_first = last_ms is None or self.now_ms - last_ms >= FIRST_GAP_MS
        self._last_arrival_ms[arrival.model] = self.now_ms
        self._planner.observe_arrivals(arrival.model, 1, self.now_ms)
        if self._serve(arrival, is_first):
            return
        self._waiting.setdefault(arrival.model, []).append((arrival, is_first))
        self._push(self.now_ms + arrival.deadline_ms, self._expire, arrival)
        self._ask_round()

    def _serve(self, arrival, is_first):
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
            self._count_idle(best)
        best.in_flight += 1
        best.last_used_ms = self.now_ms
        self._push(self.now_ms + arrival.service_ms, self._finish, (best, arrival))
        self._note(arrival, is_first, self.now_ms - arrival.at_ms)
        if self._is_judged(arrival.at_ms):
            self.score.served += 1
        return True

    def _note(self, arrival, is_first, wait_ms):
        if is_first and self._is_judged(arrival.at_ms):
            self.score.first_waits_ms.append(wait_ms)

    def _expire(self, arrival):
        waiting = self._waiting.get(arrival.model, [])
        for index, (other, is_first) in enumerate(waiting):
            if other is not arrival:
                continue
            del waiting[index]
            self._note(arrival, is_first, arrival.deadline_ms)
            if self._is_judged(arrival.at_ms):
                self.score.refused += 1
            return

    def _finish(self, item):
        replica, _ = item
        if replica.replica_id not in self._replicas or self._hosts[replica.node_id].gone:
            return
        self._count_idle(replica)
        replica.in_flight -= 1
        replica.last_used_ms = self.now_ms
        if replica.state is ReplicaState.UNLOADING and replica.in_flight == 0:
            self._push(self.now_ms + UNLOAD_MS, self._end, replica)
            return
        self._serve_waiting(replica.model)

    def _serve_waiting(self, model):
        waiting = self._waiting.get(model)
        if not waiting:
            return
        left = [item for item in waiting if not self._serve(*item)]
        self._waiting[model] = left
        if left:
            self._ask_round()

    def _count_idle(self, replica):
        from_ms = max(replica.counted_ms, self._trace.judged_from_ms)
        if replica.in_flight == 0 and not self._hosts[replica.node_id].gone:
            self.score.idle_ms += max(self.now_ms - from_ms, 0)
        replica.counted_ms = self.now_ms

    def _view(self):
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
            wishes=[
                WishView(model, adapter, count, earliest_ms, 50, since_ms)
                for (model, adapter, _), (count, earliest_ms, since_ms) in wishes.items()
            ],
            tail_cold_start=self._weight,
        )

    def _round(self, _):
        self._round_due_ms = None
        act_by_type = {
            DecideLoad: self._load,
            DecideUnload: self._unload,
            DecideAdapter: self._load_adapter,
            DecideAdapterUnload: self._unload_adapter,
        }
        for command in self._planner.decide(self._view(), self.now_ms):
            act_by_type[type(command)](command)

    def _reserve(self, node_id, memory_mb):
        host = self._hosts[node_id]
        host.reserved_mb += memory_mb
        if not 0 <= host.reserved_mb <= host.spec.memory_mb:
            raise AssertionError(f"memory of {node_id} over-committed at {self.now_ms}")
        self._endpoints[node_id] = host.view()

    def _load(self, command):
        model = self._models[command.model]
        version = model.version_by_name[command.version]
        if len(self._by_model[model.name]) >= model.most_replicas:
            raise AssertionError(f"too many replicas of {model.name} at {self.now_ms}")
        endpoint = self._endpoints[command.node_id]
        tier = checkpoint_tier(endpoint, model.name, version.name)
        self._replica_count += 1
        replica = Replica(
            f"r{self._replica_count}",
            model.name,
            command.node_id,
            self.now_ms,
            version.memory_mb,
            self.now_ms,
        )
        self._replicas[replica.replica_id] = replica
        self._by_model[model.name][replica.replica_id] = replica
        self._reserve(command.node_id, version.memory_mb)
        if self._is_judged(self.now_ms):
            self.score.loads += 1
        work_ms = nominal_load_ms(tier, version.checkpoint_mb) * self._random.uniform(0.9, 1.2)
        if tier is not Tier.REMOTE:
            self._push(self.now_ms + work_ms, self._loaded, replica)
            return
        self._store.advance(self.now_ms)
        self._store.left_by_id[replica.replica_id] = work_ms
        self._plan_store()

    def _plan_store(self):
        self._store_turn += 1
        end_ms = self._store.next_end_ms()
        if end_ms is not None:
            self._push(end_ms + 1, self._store_end, self._store_turn)

    def _store_end(self, turn):
        if turn != self._store_turn:
            return
        self._store.advance(self.now_ms)
        for replica_id in self._store.ended():
            del self._store.left_by_id[replica_id]
            self._loaded(self._replicas[replica_id])
        self._plan_store()

    def _loaded(self, replica):
        if replica.replica_id not in self._replicas or replica.state is not ReplicaState.LOADING:
            return
        took_ms = self.now_ms - replica.decided_at_ms
        self._planner.observe_load(self._view(), replica.replica_id, took_ms)
        replica.state = ReplicaState.READY
        replica.ready_at_ms = self.now_ms
        self._cache(replica.node_id, replica.model, "disk")
        self._serve_waiting(replica.model)
        self._ask_round()

    def _cache(self, node_id, model, kind):
        host = self._hosts[node_id]
        version = self._models[model].version_by_name["v1"]
        getattr(host, kind).put(f"{model}/v1", version.checkpoint_mb)
        self._endpoints[node_id] = host.view()

    def _unload(self, command):
        replica = self._replicas[command.replica_id]
        if replica.state is ReplicaState.LOADING:
            self._store.advance(self.now_ms)
            self._store.left_by_id.pop(replica.replica_id, None)
            self._plan_store()
        replica.state = ReplicaState.UNLOADING
        if replica.in_flight == 0:
            self._push(self.now_ms + UNLOAD_MS, self._end, replica)

    def _end(self, replica):
        if self._replicas.pop(replica.replica_id, None) is None:
            return
        self._count_idle(replica)
        del self._by_model[replica.model][replica.replica_id]
        held_mb = sum(self._adapters[name].memory_mb for name in replica.adapters)
        held_mb += sum(self._adapters[name].memory_mb for name in replica.adapters_loading)
        if replica.ready_at_ms:
            self._cache(replica.node_id, replica.model, "memory")
        self._reserve(replica.node_id, -replica.memory_mb - held_mb)
        self._ask_round()

    def _load_adapter(self, command):
        replica = self._replicas[command.replica_id]
        replica.adapters_loading.add(command.adapter)
        self._reserve(replica.node_id, self._adapters[command.adapter].memory_mb)
        took_ms = self._random.uniform(*self._trace.shape.adapter_ms)
        self._push(self.now_ms + took_ms, self._adapter_loaded, (replica, command.adapter))

    def _adapter_loaded(self, item):
        replica, adapter = item
        if replica.replica_id not in self._replicas:
            return
        replica.adapters_loading.discard(adapter)
        replica.adapters.add(adapter)
        self._serve_waiting(replica.model)

    def _unload_adapter(self, command):
        replica = self._replicas[command.replica_id]
        replica.adapters.discard(command.adapter)
        self._reserve(replica.node_id, -self._adapters[command.adapter].memory_mb)

    def _lose_domain(self, _):
        # Requests that were in flight are gone for their callers; what waits is served elsewhere.
        for host in self._hosts.values():
            if host.spec.failure_domain != self._trace.lost_domain:
                continue
            for replica in self._replicas.values():
                if replica.node_id == host.spec.node_id:
                    self._count_idle(replica)
                    self._store.advance(self.now_ms)
                    self._store.left_by_id.pop(replica.replica_id, None)
            host.gone = True
        self._plan_store()
        self._push(self.now_ms + LOST_AFTER_MS, self._notice_loss, None)
        self._push(self.now_ms + CERTAIN_AFTER_MS, self._forget_replicas, None)

    def _notice_loss(self, _):
        for node_id, host in self._hosts.items():
            host.lost = host.gone
            self._endpoints[node_id] = host.view()
        self._ask_round()

    def _forget_replicas(self, _):
        for replica in list(self._replicas.values()):
            if self._hosts[replica.node_id].gone:
                self._end(replica)

    def _return_domain(self, _):
        for node_id, host in self._hosts.items():
            if host.gone:
                host.gone = host.lost = False
                host.incarnation += 1
                host.memory.clear()
                self._endpoints[node_id] = host.view()
        self._ask_round()
