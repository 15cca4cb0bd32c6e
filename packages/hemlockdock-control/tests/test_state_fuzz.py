"""Apply random sequences of commands to the replicated state and compare it with simple models."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support import StateDriver, fuzz, node_info, settings, submission

from hemlockdock_control.state import ClusterState
from hemlockdock_core.commands import (
    AdapterLoaded,
    ClaimJob,
    ClaimRun,
    DecideAdapter,
    DecideAdapterUnload,
    DecideLoad,
    DecideUnload,
    DropAdapter,
    ExpireRecords,
    FinishJob,
    FinishRun,
    NodeInventoried,
    NodeLeaving,
    NodeLost,
    ReadJob,
    RecordCrash,
    RegisterNode,
    ReleaseQuarantine,
    ReplicaGone,
    ReplicaReady,
    RunState,
    SubmitJob,
)
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.rows import ReplicaState, RoutingTable
from hemlockdock_core.suspect_keys import is_part

AGENTS = ("agent-1", "agent-2")
ENTRIES = ("entry-1", "entry-2")
MODELS = ("m1", "m2", "m3")
MODEL_MB = 40
ADAPTER_MB = 10
RETENTION_S = 60

numbers = st.integers(1, 6)
agents = st.sampled_from(AGENTS)
entries = st.sampled_from(ENTRIES)
nodes = st.sampled_from(AGENTS + ENTRIES)
incarnations = st.sampled_from((1, 1, 1, 1, 2, 3))
models = st.sampled_from(("m1", "m1", "m1", "m2", "m3"))
keys = st.sampled_from(("key-1", "key-2"))
requests = st.integers(1, 4)
job_ids = st.sampled_from(("job-1", "job-2"))
memories = st.sampled_from((60, 100))
# Commands that end all activity of a node run in one of six cases, so that activity builds up.
seldom = st.integers(0, 5).map(lambda number: number == 0)


class StateFuzz(RuleBasedStateMachine):
    """Compare the state with a list of manifests, counters, and a dict of runs."""

    def __init__(self):
        super().__init__()
        self.driver = StateDriver()
        self.table = RoutingTable()
        self.accepted = []
        self.first_result_by_number = {}
        self.decided = {}
        self.granted_by_key = {}
        self.finished_by_key = {}
        self.settled_by_job = {}
        self.highest_number = 0
        self.last_now_ms = 0
        self.submit(1, ("m1",), 1)
        for node_id in AGENTS:
            self.driver.add_agent(node_id)
        self.follow()

    @property
    def state(self):
        return self.driver.state

    def apply(self, command):
        result = self.driver.apply(command)
        self.follow()
        return result

    def follow(self):
        changes = self.state.changes
        delta = changes.changes_since(self.table.revision)
        if delta is None:
            self.table.clear()
            delta = list(changes.row_by_key.values()), []
        for key in delta[1]:
            self.table.delete(key)
        for row in delta[0]:
            self.table.put(row)
        self.table.revision = changes.revision

    @rule(
        number=numbers,
        names=st.sampled_from((("m1",), ("m1", "m2"), MODELS)),
        most=st.integers(1, 3),
    )
    def submit(self, number, names, most):
        command = submission(number, models=names, adapters=("a1", "a2"), most_replicas=most)
        result = self.apply(command)
        earlier = self.first_result_by_number.get(number)
        if earlier is not None:
            if earlier[0] == command.digest:
                assert result == earlier[1]
            else:
                assert result.refusal.kind is ErrorKind.CONFLICT
                assert earlier[0] in result.refusal.message
            return
        if number < self.highest_number:
            assert result.refusal is not None
            return
        assert result.refusal is None
        self.first_result_by_number[number] = (command.digest, result)
        self.highest_number = number

    @rule(node_id=nodes, incarnation=incarnations, memory_mb=memories, now=seldom)
    def register(self, node_id, incarnation, memory_mb, now):
        if not now:
            return
        before = self.state.nodes.record_by_id.get(node_id)
        info = node_info(node_id, node_id.split("-")[0], memory_mb)
        result = self.apply(RegisterNode(info, incarnation, self.driver.now_ms))
        if before is not None and incarnation < before.incarnation:
            assert result.refusal is not None

    @rule(node_id=nodes, incarnation=incarnations, certain=st.booleans(), now=seldom)
    def lose(self, node_id, incarnation, certain, now):
        if not now:
            return
        result = self.apply(NodeLost(node_id, incarnation, self.driver.now_ms, certain))
        if result.refusal is None and certain:
            self.decided = {k: v for k, v in self.decided.items() if v[1] != node_id}

    @rule(node_id=nodes, source=st.sampled_from(("agent", "platform")), now=seldom)
    def leave(self, node_id, source, now):
        if not now:
            return
        self.apply(NodeLeaving(node_id, self.driver.now_ms, source))

    @rule(node_id=agents, incarnation=incarnations, undecided_mb=st.sampled_from((0, 0, 40)))
    def inventory(self, node_id, incarnation, undecided_mb):
        # Decided and undecided loads of an agent together never exceed its memory.
        node = self.state.nodes.record_by_id.get(node_id)
        reserved_mb = sum(item.reserved_mb for item in self.state.replicas.of_node(node_id))
        if node is None or reserved_mb + undecided_mb > node.info.memory_mb:
            return
        command = NodeInventoried(node_id, incarnation, undecided_mb, self.driver.now_ms)
        self.apply(command)

    @rule(model=models, node_id=agents, incarnation=incarnations)
    def decide_load(self, model, node_id, incarnation):
        node = self.state.nodes.record_by_id.get(node_id)
        in_force = self.state.manifests.model_by_name.get(model)
        command = DecideLoad(model, "v1", node_id, incarnation, self.driver.now_ms, "fuzz")
        result = self.apply(command)
        if result.refusal is not None:
            return
        self.decided[result.owner] = (model, node_id)
        assert node.incarnation == incarnation and node.inventoried
        assert not node.leaving and not node.lost
        count = sum(1 for name, _ in self.decided.values() if name == model)
        assert count <= in_force.most_replicas

    @rule(data=st.data())
    def decide_unload(self, data):
        replica_id = self.some_replica(data)
        self.apply(DecideUnload(replica_id, self.driver.now_ms, "fuzz"))

    @rule(data=st.data(), incarnation=incarnations, right_fence=st.booleans())
    def ready(self, data, incarnation, right_fence):
        replica_id = self.some_replica(data)
        record = self.state.replicas.record_by_id.get(replica_id)
        fence = record.fence if record is not None and right_fence else 0
        was_unloading = record is not None and record.state is ReplicaState.UNLOADING
        result = self.apply(ReplicaReady(replica_id, fence, incarnation, self.driver.now_ms, 10))
        if result.refusal is None:
            assert right_fence and not was_unloading
            assert self.state.nodes.current(record.node_id, incarnation)

    @rule(data=st.data(), incarnation=incarnations)
    def gone(self, data, incarnation):
        replica_id = self.some_replica(data)
        record = self.state.replicas.record_by_id.get(replica_id)
        was_loading = record is not None and record.state is ReplicaState.LOADING
        result = self.apply(ReplicaGone(replica_id, incarnation, self.driver.now_ms, "fuzz"))
        if record is not None and result.refusal is None:
            assert not was_loading
            assert self.state.nodes.record_by_id[record.node_id].incarnation == incarnation
            del self.decided[replica_id]

    @rule(
        data=st.data(),
        adapter=st.sampled_from(("a1", "a2")),
        incarnation=incarnations,
        what=st.integers(0, 3),
    )
    def adapter(self, data, adapter, incarnation, what):
        replica_id = self.some_replica(data)
        at_ms = self.driver.now_ms
        command = (
            DecideAdapter(replica_id, adapter, at_ms),
            AdapterLoaded(replica_id, adapter, incarnation, at_ms),
            DecideAdapterUnload(replica_id, adapter, at_ms),
            DropAdapter(replica_id, adapter, incarnation, at_ms),
        )[what]
        self.apply(command)

    def some_replica(self, data):
        return data.draw(st.sampled_from([*sorted(self.decided), "r0"]))

    @rule(
        key=keys,
        body=st.sampled_from(("b1", "b2")),
        owner=entries,
        incarnation=incarnations,
        request=requests,
    )
    def claim(self, key, body, owner, incarnation, request):
        request_id = f"{owner}/{incarnation}/{request}"
        command = ClaimRun(
            key,
            body,
            owner,
            incarnation,
            request_id,
            f"s/{request_id}",
            RETENTION_S,
            self.driver.now_ms,
        )
        result = self.apply(command)
        if result.refusal is not None or result.stream_id != command.stream_id:
            return
        if result.state != RunState.CLAIMED.value:
            return
        # The request holds the claim, so no other request may have been granted the key.
        holder = self.granted_by_key.setdefault(key, request_id)
        assert holder == request_id, f"{key}: {holder} and {request_id}"

    @rule(
        key=keys,
        owner=entries,
        incarnation=incarnations,
        request=requests,
        end=st.sampled_from(("ran", "not_run", "unknown")),
    )
    def finish(self, key, owner, incarnation, request, end):
        request_id = f"{owner}/{incarnation}/{request}"
        command = FinishRun(key, request_id, RunState(end), b"", self.driver.now_ms)
        result = self.apply(command)
        if result.refusal is None and result.state == "not_run":
            # Only the holder may say that its request did not run.
            assert self.granted_by_key.get(key) in (request_id, None)
            self.granted_by_key.pop(key, None)

    @rule(job_id=job_ids, caller=st.sampled_from(("c1", "c2")), repeatable=st.booleans())
    def submit_job(self, job_id, caller, repeatable):
        deadline_at_ms = self.driver.now_ms + 10_000
        command = SubmitJob(
            job_id,
            caller,
            "m1",
            "/v1",
            b"x",
            deadline_at_ms,
            RETENTION_S,
            repeatable,
            self.driver.now_ms,
        )
        self.apply(command)

    @rule(job_id=job_ids, owner=entries, incarnation=incarnations)
    def claim_job(self, job_id, owner, incarnation):
        record = self.state.jobs.record_by_id.get(job_id)
        before = (record.state, record.owner) if record is not None else None
        result = self.apply(ClaimJob(job_id, owner, incarnation, self.driver.now_ms))
        if result.refusal is None:
            assert before in (("waiting", ""), ("running", owner))
            assert not self.state.nodes.superseded(owner, incarnation)

    @rule(
        job_id=job_ids,
        owner=entries,
        incarnation=incarnations,
        end=st.sampled_from(("done", "failed", "waiting")),
    )
    def finish_job(self, job_id, owner, incarnation, end):
        command = FinishJob(job_id, owner, incarnation, end, b"result", self.driver.now_ms)
        result = self.apply(command)
        if result.refusal is None and end != "waiting":
            assert self.settled_by_job.setdefault(job_id, end) == end

    @rule(job_id=job_ids, caller=st.sampled_from(("c1", "c2")))
    def read_job(self, job_id, caller):
        record = self.state.jobs.record_by_id.get(job_id)
        result = self.apply(ReadJob(job_id, caller))
        mine = record is not None and record.caller == caller
        assert (result.refusal is None) == mine

    @rule(crash=st.integers(1, 6), fingerprints=st.sets(st.sampled_from("abc"), max_size=3))
    def crash(self, crash, fingerprints):
        before = {k: v.refused for k, v in self.state.crashes.suspect_by_fingerprint.items()}
        command = RecordCrash(f"crash-{crash}", "agent-1", sorted(fingerprints), self.driver.now_ms)
        self.apply(command)
        after = self.state.crashes.suspect_by_fingerprint
        for fingerprint, record in after.items():
            if record.refused and not before.get(fingerprint, False):
                # By a complete report, only requests in flight at two crashes may be quarantined.
                assert fingerprint in before and fingerprint in fingerprints
                assert len(record.crash_ids) >= 2

    @rule(
        endpoint=st.integers(1, 4),
        parts_by_fingerprint=st.dictionaries(
            st.sampled_from("abcd"), st.sets(st.sampled_from("pqr"), max_size=2), max_size=3
        ),
    )
    def incomplete_crash_report(self, endpoint, parts_by_fingerprint):
        records = self.state.crashes.suspect_by_fingerprint
        before = {key: record.refused for key, record in records.items()}
        reported = {name: tuple(sorted(ids)) for name, ids in parts_by_fingerprint.items()}
        command = RecordCrash(
            f"e{endpoint}", "entry-1", sorted(reported), self.driver.now_ms, False, reported
        )
        self.apply(command)
        for key, record in records.items():
            assert len(set(record.crash_ids)) == len(record.crash_ids)
            if not record.refused or before.get(key, False):
                continue
            assert len(record.crash_ids) >= 3
            # One request that comes again says nothing about the parts of its prompt.
            assert not is_part(key) or len(set(record.requests)) >= 2

    @rule(
        keys=st.lists(st.sampled_from(("a", "b", "c", "part:p", "part:q")), min_size=1, max_size=3)
    )
    def release(self, keys):
        first, *others = keys
        self.apply(ReleaseQuarantine(first, "tester", self.driver.now_ms, tuple(others)))
        remaining = self.state.crashes.suspect_by_fingerprint
        assert not remaining.keys() & set(keys)

    @rule(step_ms=st.sampled_from((-5_000, 1, 30_000, 700_000)))
    def time(self, step_ms):
        self.driver.now_ms = max(self.driver.now_ms + step_ms, 1)
        due = self.state.now_ms if self.driver.now_ms < self.state.now_ms else self.driver.now_ms
        self.apply(ExpireRecords(self.driver.now_ms))
        assert not self.state.has_due(due)
        gone = set(self.granted_by_key) - set(self.state.run_once.record_by_key)
        for key in gone:
            del self.granted_by_key[key]
        for job_id in set(self.settled_by_job) - set(self.state.jobs.record_by_id):
            del self.settled_by_job[job_id]

    @rule()
    def restart(self):
        data = self.state.snapshot()
        rows = dict(self.state.changes.row_by_key)
        restored = ClusterState(settings())
        restored.restore(data)
        assert restored.changes.row_by_key == rows
        assert restored.snapshot() == data
        self.driver.state = restored

    @invariant()
    def deltas_equal_the_table(self):
        rows = {row.key: row for row in self.table.rows()}
        assert rows == self.state.changes.row_by_key

    @invariant()
    def replicas_are_those_decided(self):
        assert set(self.state.replicas.record_by_id) == set(self.decided)

    @invariant()
    def manifest_is_the_highest(self):
        current = self.state.manifests.current
        assert (current.number if current else 0) == self.highest_number

    @invariant()
    def clock_never_goes_back(self):
        assert self.state.now_ms >= self.last_now_ms
        self.last_now_ms = self.state.now_ms

    @invariant()
    def ended_owners_hold_nothing(self):
        for record in self.state.run_once.record_by_key.values():
            if record.state is RunState.CLAIMED:
                assert not self.state.nodes.superseded(record.owner, record.incarnation)
        for record in self.state.jobs.record_by_id.values():
            if record.state == "running":
                assert not self.state.nodes.superseded(record.owner, record.incarnation)


class MemoryFuzz(RuleBasedStateMachine):
    """Decide loads and adapters at random; a counter keeps what each endpoint has left."""

    def __init__(self):
        super().__init__()
        self.driver = StateDriver()
        self.driver.apply(submission(1, adapters=("a1", "a2", "a3"), most_replicas=50))
        self.free_by_id = {"agent-1": 100, "agent-2": 130}
        for node_id, memory_mb in self.free_by_id.items():
            self.driver.add_agent(node_id, memory_mb=memory_mb)
        self.held = {}

    @rule(node_id=agents)
    def load(self, node_id):
        result = self.driver.apply(DecideLoad("m1", "v1", node_id, 1, 1, "fuzz"))
        fits = self.free_by_id[node_id] >= MODEL_MB
        assert (result.refusal is None) == fits
        if not fits:
            return
        self.free_by_id[node_id] -= MODEL_MB
        self.held[result.owner] = [node_id, set()]
        self.driver.apply(ReplicaReady(result.owner, result.revision, 1, 1, 1))

    @rule(data=st.data(), adapter=st.sampled_from(("a1", "a2", "a3")), drop=st.booleans())
    def change_adapter(self, data, adapter, drop):
        if not self.held:
            return
        replica_id = data.draw(st.sampled_from(sorted(self.held)))
        node_id, loaded = self.held[replica_id]
        if drop:
            result = self.driver.apply(DropAdapter(replica_id, adapter, 1, 1))
            assert (result.refusal is None) == (adapter in loaded)
            if adapter in loaded:
                loaded.discard(adapter)
                self.free_by_id[node_id] += ADAPTER_MB
            return
        result = self.driver.apply(DecideAdapter(replica_id, adapter, 1))
        fits = adapter in loaded or self.free_by_id[node_id] >= ADAPTER_MB
        assert (result.refusal is None) == fits
        if fits and adapter not in loaded:
            loaded.add(adapter)
            self.free_by_id[node_id] -= ADAPTER_MB

    @rule(data=st.data())
    def unload(self, data):
        if not self.held:
            return
        replica_id = data.draw(st.sampled_from(sorted(self.held)))
        node_id, loaded = self.held.pop(replica_id)
        self.driver.apply(DecideUnload(replica_id, 1, "fuzz"))
        self.driver.apply(ReplicaGone(replica_id, 1, 1, "fuzz"))
        self.free_by_id[node_id] += MODEL_MB + ADAPTER_MB * len(loaded)

    @invariant()
    def reservations_match(self):
        for node_id, free_mb in self.free_by_id.items():
            present_mb = self.driver.state.nodes.record_by_id[node_id].info.memory_mb
            assert present_mb - self.driver.state.replicas.reserved_mb(node_id) == free_mb
            assert free_mb >= 0


StateFuzzTest = fuzz(StateFuzz, 100, 50)
MemoryFuzzTest = fuzz(MemoryFuzz, 30, 30)

if __name__ == "__main__":
    unittest.main()
