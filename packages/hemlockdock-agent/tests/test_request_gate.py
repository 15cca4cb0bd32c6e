"""Fuzz the request gate: attempts run at most once, within limits, and suspects run apart."""

import unittest
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support import dispatch, fuzz

from hemlockdock_agent.orders import HeldReplica
from hemlockdock_agent.requests import AnswerReader, GateView, RequestGate
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.rows import QuarantineRow, ReplicaRow, ReplicaState

READER = AnswerReader("entry-1", "tcp://127.0.0.1:1", 1)
SUSPECTS = frozenset(("f0", "f1"))
LIMIT = 3


def view(replica_id="r1", **changes):
    """Return the gate's view of a ready replica, with some fields changed."""
    held = HeldReplica(replica_id, "m", "v", 10, 1, LIMIT, True)
    row = ReplicaRow(replica_id, "m", "v", "agent-1", ReplicaState.READY, 1, [], LIMIT)
    values = {
        "fresh": True,
        "table_revision": 10,
        "changed_revision": 5,
        "row": row,
        "held": held,
        "unloading": False,
        "quarantine": None,
        "suspects": SUSPECTS,
        "boot_id": "boot-1",
        "wall_ms": 1_000,
    }
    return GateView(**{**values, **changes})


class RequestGateMachine(RuleBasedStateMachine):
    """Admit, repeat and end attempts at random."""

    def __init__(self):
        super().__init__()
        self.gate = RequestGate()
        self.admitted = Counter()
        self.live = []

    @rule(
        request=st.integers(0, 5),
        attempt=st.integers(1, 2),
        replica=st.sampled_from(["r1", "r2"]),
        fresh=st.sampled_from([True, True, True, False]),
        unloading=st.sampled_from([False, False, False, True]),
    )
    def arrive(self, request, attempt, replica, fresh, unloading):
        message = dispatch(f"q{request}", attempt, replica_id=replica, fingerprint=f"f{request}")
        key = (message.request_id, attempt)
        if self.gate.is_known(key):
            refusal = self.gate.repeat_refusal(key)
            assert (refusal is None) == any(run.key == key for run in self.live)
            return
        seen = view(replica, fresh=fresh, unloading=unloading)
        admitted = self.gate.admit(message, READER, seen, 0.0)
        if admitted.is_err():
            assert admitted.unwrap_err().not_run is NotRun.TRUE
            return
        assert fresh and not unloading and not self.gate.draining
        self.admitted[key] += 1
        self.live.append(admitted.unwrap())

    @rule(index=st.integers(0, 5), well=st.booleans(), twice=st.booleans())
    def end(self, index, well, twice):
        if not self.live:
            return
        run = self.live.pop(index % len(self.live))
        refusal = None if well else Refusal.of(ErrorKind.ENGINE_FAILED, "failed")
        assert self.gate.end(run, refusal)
        if twice:
            assert not self.gate.end(run, refusal)

    @invariant()
    def each_try_runs_at_most_once(self):
        assert all(count == 1 for count in self.admitted.values())

    @invariant()
    def replicas_keep_their_limits(self):
        running = Counter(run.dispatch.replica_id for run in self.live)
        assert all(count <= LIMIT for count in running.values())
        assert all(self.gate.in_flight(name) == running[name] for name in ("r1", "r2"))

    @invariant()
    def suspects_run_apart(self):
        suspects = [run for run in self.live if run.dispatch.fingerprint in SUSPECTS]
        assert len(suspects) <= 1


RequestGateFuzz = fuzz(RequestGateMachine, 100, 60)


class RequestGateTest(unittest.TestCase):
    def kind(self, message=None, draining=False, **changes):
        gate = RequestGate()
        gate.draining = draining
        admitted = gate.admit(message or dispatch("q", 1), READER, view(**changes), 0.0)
        if admitted.is_ok():
            return None
        refusal = admitted.unwrap_err()
        self.assertIs(refusal.not_run, NotRun.TRUE)
        return refusal.kind

    def test_each_reason_to_refuse_has_its_kind(self):
        unloading = ReplicaRow("r1", "m", "v", "agent-1", ReplicaState.UNLOADING, 1, [], LIMIT)
        refused = QuarantineRow("f", 2, True, 2_000)
        loading = HeldReplica("r1", "m", "v", 10, 1, LIMIT, False)
        other = HeldReplica("r1", "other", "v", 10, 1, LIMIT, True)
        self.assertIsNone(self.kind())
        self.assertEqual(self.kind(draining=True), ErrorKind.DRAINING)
        self.assertEqual(self.kind(fresh=False), ErrorKind.NO_CONTROL)
        self.assertEqual(self.kind(dispatch("q", 1, deadline_ms=0)), ErrorKind.DEADLINE_PASSED)
        self.assertEqual(self.kind(quarantine=refused), ErrorKind.QUARANTINED)
        self.assertIsNone(self.kind(quarantine=refused, wall_ms=2_000))
        self.assertEqual(self.kind(changed_revision=11), ErrorKind.STALE_REVISION)
        self.assertEqual(self.kind(row=None), ErrorKind.STALE_REVISION)
        self.assertIsNone(self.kind(row=None, table_revision=9))
        self.assertEqual(self.kind(row=unloading), ErrorKind.ENGINE_REFUSED)
        self.assertEqual(self.kind(unloading=True), ErrorKind.ENGINE_REFUSED)
        self.assertEqual(self.kind(held=None), ErrorKind.ENGINE_REFUSED)
        self.assertEqual(self.kind(held=loading), ErrorKind.ENGINE_REFUSED)
        self.assertEqual(self.kind(held=other), ErrorKind.STALE_REVISION)
        self.assertEqual(self.kind(dispatch("q", 1, adapter="a")), ErrorKind.ENGINE_REFUSED)

    def test_suspects_run_beside_others_and_apart_from_each_other(self):
        gate = RequestGate()
        kinds = []
        for number, fingerprint in enumerate(("f0", "other", "f1", "f0")):
            message = dispatch(f"q{number}", 1, fingerprint=fingerprint)
            admitted = gate.admit(message, READER, view(), 0.0)
            kinds.append(None if admitted.is_ok() else admitted.unwrap_err().kind)
        self.assertEqual(kinds, [None, None, ErrorKind.NO_CAPACITY, ErrorKind.NO_CAPACITY])


if __name__ == "__main__":
    unittest.main()
