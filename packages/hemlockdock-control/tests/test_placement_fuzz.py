"""Fuzz the planner against an oracle of its invariants."""

import os
import unittest
from dataclasses import replace

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from support_policy import Deployment, endpoint_view, model_view

from hemlockdock_control.placement import AdapterView
from hemlockdock_core.rows import ReplicaState

MODELS = [f"m{index}" for index in range(7)]
NODES = ["a", "b", "c"]
ADAPTERS = ["", "", "x", "y", "z"]
SETTLE_ROUNDS = 900
LOAD_ROUNDS = 20


class PlannerMachine(RuleBasedStateMachine):
    """Run a planner through requests, completions and faults in any order."""

    def __init__(self):
        super().__init__()
        models = [model_view(name, 1 + index % 2) for index, name in enumerate(MODELS)]
        endpoints = [
            endpoint_view(node, f"domain-{node}", 41_000 + 2_000 * index)
            for index, node in enumerate(NODES)
        ]
        adapters = [
            AdapterView("x", "m0", 400),
            AdapterView("y", "m0", 700),
            AdapterView("z", "m0", 600),
        ]
        self.oracle = Deployment(models, endpoints, adapters)

    @rule(
        model=st.sampled_from(MODELS),
        adapter=st.sampled_from(ADAPTERS),
        waiting=st.integers(1, 40),
        left_ms=st.sampled_from([500, 20_000, 120_000]),
    )
    def request(self, model, adapter, waiting, left_ms):
        known = self.oracle.adapter_by_name.get(adapter)
        self.oracle.wish(model, adapter if known and known.model == model else "", waiting, left_ms)

    @rule()
    def serve(self):
        self.oracle.serve()

    @rule(passed_ms=st.sampled_from([10, 100, 1_000, 5_000, 40_000, 400_000]))
    def decide(self, passed_ms):
        self.oracle.now_ms += passed_ms
        self.oracle.round()

    @rule(pick=st.integers(0, 100), state=st.sampled_from(ReplicaState))
    def end_order(self, pick, state):
        replica = self._pick(pick, state)
        if replica is None or self.oracle.endpoint_by_id[replica.node_id].lost:
            return
        if state is ReplicaState.LOADING:
            self.oracle.loaded(replica.replica_id)
        elif state is ReplicaState.UNLOADING:
            self.oracle.remove(replica.replica_id)
        else:
            self.oracle.end_adapters(replica.replica_id)

    @rule(pick=st.integers(0, 100))
    def fail_load(self, pick):
        replica = self._pick(pick, ReplicaState.LOADING)
        if replica is not None:
            self.oracle.planner.observe_failure(replica.model, replica.node_id, self.oracle.now_ms)
            self.oracle.remove(replica.replica_id)

    @rule(pick=st.integers(0, 100), count=st.integers(0, 4))
    def use(self, pick, count):
        replica = self._pick(pick, ReplicaState.READY)
        if replica is not None:
            now_ms = self.oracle.now_ms
            self.oracle.change_replica(replica.replica_id, in_flight=count, last_used_ms=now_ms)

    @rule(node=st.sampled_from(NODES), lost=st.booleans(), leaving=st.booleans())
    def change_host(self, node, lost, leaving):
        self.oracle.change_endpoint(node, lost=lost, leaving=leaving)

    @rule(node=st.sampled_from(NODES))
    def restart_agent(self, node):
        for replica in list(self.oracle.replica_by_id.values()):
            if replica.node_id == node:
                self.oracle.remove(replica.replica_id)
        incarnation = self.oracle.endpoint_by_id[node].incarnation + 1
        empty = frozenset()
        self.oracle.change_endpoint(node, incarnation=incarnation, cached_on_disk=empty)

    @rule(model=st.sampled_from(MODELS), most=st.integers(1, 3), priority=st.integers(0, 100))
    def change_manifest(self, model, most, priority):
        fresh = model_view(model, most, ("v1", "v2"), priority=priority)
        serve = "v2" if priority % 2 else "v1"
        self.oracle.model_by_name[model] = replace(fresh, serve=serve)

    @rule()
    def change_leader(self):
        self.oracle.change_leader()

    def teardown(self):
        """Check that all requests that can be served are served once the faults end."""
        for node in NODES:
            self.oracle.change_endpoint(node, lost=False, leaving=False)
        for replica_id in list(self.oracle.replica_by_id):
            self.oracle.change_replica(replica_id, in_flight=0)
        rounds = 0
        while self.oracle.serve():
            rounds += 1
            assert rounds < SETTLE_ROUNDS, f"starved: {list(self.oracle.wish_by_key)}"
            self.oracle.now_ms += 500
            self.oracle.round()
            self._end_orders()

    def _end_orders(self):
        for replica in list(self.oracle.replica_by_id.values()):
            age_ms = self.oracle.now_ms - replica.decided_at_ms
            if replica.state is ReplicaState.UNLOADING:
                self.oracle.remove(replica.replica_id)
            elif replica.state is ReplicaState.READY:
                self.oracle.end_adapters(replica.replica_id)
            elif age_ms >= LOAD_ROUNDS * 500:
                self.oracle.loaded(replica.replica_id)

    def _pick(self, pick, state):
        found = [r for r in self.oracle.replica_by_id.values() if r.state is state]
        return found[pick % len(found)] if found else None


class PlannerFuzzTest(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        examples = os.environ.get("FUZZ_EXAMPLES")
        chosen = settings(
            max_examples=int(examples or 250),
            stateful_step_count=50,
            deadline=None,
            database=None,
            derandomize=examples is None,
            phases=[Phase.generate] if examples is None else list(Phase),
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        )
        machine = PlannerMachine
        if examples is not None:
            machine = seed(int(os.environ.get("FUZZ_SEED", "0")))(machine)
        run_state_machine_as_test(machine, settings=chosen)


if __name__ == "__main__":
    unittest.main()
