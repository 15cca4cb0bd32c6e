"""Replay a trace against a planner in virtual time, and apply the planner's decisions."""

from benchmarks.traces.requests import UNLOAD_MS, RequestReplay
from benchmarks.traces.state import Replica
from hemlockdock_control.loading import Tier
from hemlockdock_control.loading.load_times import nominal_load_ms
from hemlockdock_control.placement.checkpoints import checkpoint_tier
from hemlockdock_core.commands import (
    DecideAdapter,
    DecideAdapterUnload,
    DecideLoad,
    DecideUnload,
)
from hemlockdock_core.rows import ReplicaState

LOST_AFTER_MS = 2_000
CERTAIN_AFTER_MS = 30_000


class Replay(RequestReplay):
    """Replay a trace against a planner, and apply the planner's decisions to simulated hosts.

    A decision that exceeds an endpoint's memory or a model's replica limit raises an
    AssertionError.
    """

    def _round(self, _):
        self._round_due_ms = None
        handler_by_type = {
            DecideLoad: self._load,
            DecideUnload: self._unload,
            DecideAdapter: self._load_adapter,
            DecideAdapterUnload: self._unload_adapter,
        }
        for command in self._planner.decide(self._planner_view(), self.now_ms):
            handler_by_type[type(command)](command)

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
        if self._is_measured(self.now_ms):
            self.score.loads += 1
        load_ms = nominal_load_ms(tier, version.checkpoint_mb) * self._random.uniform(0.9, 1.2)
        if tier is not Tier.REMOTE:
            self._schedule(self.now_ms + load_ms, self._finish_load, replica)
            return
        self._store.advance(self.now_ms)
        self._store.remaining_ms_by_id[replica.replica_id] = load_ms
        self._schedule_store_event()

    def _schedule_store_event(self):
        self._store_event_number += 1
        finish_ms = self._store.next_finish_ms()
        if finish_ms is not None:
            self._schedule(finish_ms + 1, self._finish_store_loads, self._store_event_number)

    def _finish_store_loads(self, event_number):
        if event_number != self._store_event_number:
            return
        self._store.advance(self.now_ms)
        for replica_id in self._store.finished_ids():
            del self._store.remaining_ms_by_id[replica_id]
            self._finish_load(self._replicas[replica_id])
        self._schedule_store_event()

    def _finish_load(self, replica):
        if replica.replica_id not in self._replicas or replica.state is not ReplicaState.LOADING:
            return
        took_ms = self.now_ms - replica.decided_at_ms
        self._planner.observe_load(self._planner_view(), replica.replica_id, took_ms)
        replica.state = ReplicaState.READY
        replica.ready_at_ms = self.now_ms
        self._cache_checkpoint(replica.node_id, replica.model, "disk")
        self._serve_waiting(replica.model)
        self._schedule_round()

    def _cache_checkpoint(self, node_id, model, kind):
        host = self._hosts[node_id]
        version = self._models[model].version_by_name["v1"]
        getattr(host, kind).put(f"{model}/v1", version.checkpoint_mb)
        self._endpoints[node_id] = host.view()

    def _unload(self, command):
        replica = self._replicas[command.replica_id]
        if replica.state is ReplicaState.LOADING:
            self._store.advance(self.now_ms)
            self._store.remaining_ms_by_id.pop(replica.replica_id, None)
            self._schedule_store_event()
        replica.state = ReplicaState.UNLOADING
        if replica.in_flight == 0:
            self._schedule(self.now_ms + UNLOAD_MS, self._end, replica)

    def _end(self, replica):
        if self._replicas.pop(replica.replica_id, None) is None:
            return
        self._accrue_idle_time(replica)
        del self._by_model[replica.model][replica.replica_id]
        adapters_mb = sum(self._adapters[name].memory_mb for name in replica.adapters)
        adapters_mb += sum(self._adapters[name].memory_mb for name in replica.adapters_loading)
        if replica.ready_at_ms:
            self._cache_checkpoint(replica.node_id, replica.model, "memory")
        self._reserve(replica.node_id, -replica.memory_mb - adapters_mb)
        self._schedule_round()

    def _load_adapter(self, command):
        replica = self._replicas[command.replica_id]
        replica.adapters_loading.add(command.adapter)
        self._reserve(replica.node_id, self._adapters[command.adapter].memory_mb)
        took_ms = self._random.uniform(*self._trace.shape.adapter_load_ms)
        self._schedule(self.now_ms + took_ms, self._finish_adapter_load, (replica, command.adapter))

    def _finish_adapter_load(self, item):
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
        # Requests in flight get no answer. Waiting requests are served by other hosts.
        for host in self._hosts.values():
            if host.spec.failure_domain != self._trace.lost_domain:
                continue
            for replica in self._replicas.values():
                if replica.node_id == host.spec.node_id:
                    self._accrue_idle_time(replica)
                    self._store.advance(self.now_ms)
                    self._store.remaining_ms_by_id.pop(replica.replica_id, None)
            host.gone = True
        self._schedule_store_event()
        self._schedule(self.now_ms + LOST_AFTER_MS, self._mark_hosts_lost, None)
        self._schedule(self.now_ms + CERTAIN_AFTER_MS, self._remove_lost_replicas, None)

    def _mark_hosts_lost(self, _):
        for node_id, host in self._hosts.items():
            host.lost = host.gone
            self._endpoints[node_id] = host.view()
        self._schedule_round()

    def _remove_lost_replicas(self, _):
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
        self._schedule_round()
