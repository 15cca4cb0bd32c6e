"""Provide settings, a fake control and a fake engine for the fuzz tests of the agent's gates."""

import os
from dataclasses import dataclass, field

import hypothesis

from hemlockdock_agent.engine import EngineInventory, EngineModel, OrderReply
from hemlockdock_core.messages import Dispatch, LoadOrder, OrderOutcome, UnloadOrder
from hemlockdock_core.settings import parse_settings

MEMORY_MB = 100
TIMEOUT_MS = 1_000


def settings(
    fencing="refuses_old", engine_url="http://127.0.0.1:9", control="127.0.0.1:1", **agent
):
    """Return the settings of an agent."""
    keys = {"memory_mb": MEMORY_MB, "order_timeout_ms": TIMEOUT_MS, **agent}
    lines = "\n".join(f"{name} = {value}" for name, value in keys.items())
    text = f"""
[process]
node_id = agent-1
roles = agent
host = host-1
failure_domain = domain-a
[control]
members = c1@tcp://{control}@tcp://127.0.0.1:2
[membership]
heartbeat_ms = 50
certain_after_ms = 2000
[entry]
stall_ms = 200
[agent]
engine_url = {engine_url}
fencing = {fencing}
{lines}
"""
    return parse_settings(text, "test.ini")


def fuzz(machine, examples, steps):
    """Return a machine's unittest class, configured for CI or for a fuzz run."""
    wanted = os.environ.get("FUZZ_EXAMPLES")
    case = machine.TestCase
    phases = list(hypothesis.Phase)
    if not wanted:
        # Shrinking takes minutes, so only fuzz runs with the same machine do it.
        phases = [hypothesis.Phase.generate]
    case.settings = hypothesis.settings(
        max_examples=int(wanted) if wanted else examples,
        stateful_step_count=steps,
        phases=phases,
        derandomize=wanted is None,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if wanted:
        hypothesis.seed(int(os.environ["FUZZ_SEED"]))(case)
    return case


@dataclass
class Decision:
    """Hold the state of one replica in control."""

    replica_id: str
    fence: int
    memory_mb: int
    state: str = "loading"
    unload_fence: int = 0
    ready_incarnation: int = 0


@dataclass
class SmallControl:
    """Decide replicas, and count each until its agent confirms that it is unloaded."""

    fence: int = 0
    incarnation: int = 0
    decision_by_id: dict = field(default_factory=dict)

    @property
    def reserved_mb(self):
        return sum(decision.memory_mb for decision in self.decision_by_id.values())

    def decide(self, memory_mb):
        if self.reserved_mb + memory_mb > MEMORY_MB:
            return
        self.fence += 1
        replica_id = f"r{self.fence}"
        self.decision_by_id[replica_id] = Decision(replica_id, self.fence, memory_mb)

    def withdraw(self, replica_id):
        self.fence += 1
        decision = self.decision_by_id[replica_id]
        decision.state = "unloading"
        decision.unload_fence = self.fence

    def order(self, replica_id):
        """Return the order that the decision requires, or None."""
        decision = self.decision_by_id[replica_id]
        if decision.state == "loading":
            return LoadOrder(
                replica_id, decision.fence, "m", "v", decision.memory_mb, 2, 0, self.incarnation
            )
        if decision.state == "unloading":
            return UnloadOrder(replica_id, decision.unload_fence, self.incarnation)
        return None

    def take_result(self, result, incarnation):
        decision = self.decision_by_id.get(result.replica_id)
        if decision is None or incarnation != self.incarnation:
            return
        done = result.outcome is OrderOutcome.DONE
        if decision.state == "loading" and result.fence == decision.fence:
            if done:
                self.set_ready(decision)
            else:
                self.withdraw(result.replica_id)
        elif decision.state == "unloading" and result.fence == decision.unload_fence:
            if done:
                del self.decision_by_id[result.replica_id]
            else:
                self.withdraw(result.replica_id)

    def set_ready(self, decision):
        decision.state = "ready"
        decision.ready_incarnation = self.incarnation

    def take_inventory(self, inventory, incarnation):
        if incarnation != self.incarnation:
            return
        loaded_by_id = {item.replica_id: item for item in inventory.loaded}
        for decision in list(self.decision_by_id.values()):
            item = loaded_by_id.get(decision.replica_id)
            if decision.fence in inventory.orders_in_flight:
                continue
            if item is None and decision.state == "ready":
                newer = self.incarnation > decision.ready_incarnation
                if newer or inventory.highest_fence >= decision.fence:
                    del self.decision_by_id[decision.replica_id]
                continue
            if item is None or decision.state != "loading":
                continue
            if item.fence == decision.fence:
                self.set_ready(decision)


@dataclass
class Sent:
    """Hold one order that is in transit, running on the engine, or answered."""

    effect: object
    gate: object
    deadline_ms: float
    phase: str = "under way"
    status: int = 0
    client_waits: bool = True


class SmallEngine:
    """Execute orders that may arrive late, and count violations."""

    def __init__(self, refuses_old):
        self.refuses_old = refuses_old
        self.boot = 1
        self.highest_fence = 0
        self.loaded = {}
        self.overcommits = 0
        self.overlaps = 0
        self.sent = []

    @property
    def used_mb(self):
        return sum(item.memory_mb for item in self.loaded.values())

    def arrive(self, sent):
        """Accept or refuse an order that reaches the engine."""
        body = sent.effect.body
        if not self.refuses_old and any(other.phase == "running" for other in self.sent):
            self.overlaps += 1
        if body["fence"] < self.highest_fence and self.refuses_old:
            sent.phase, sent.status = "answered", 409
            return
        self.highest_fence = max(self.highest_fence, body["fence"])
        sent.phase = "running"
        if sent.effect.kind != "load" or body["replica_id"] in self.loaded:
            return
        if self.used_mb + body["memory_mb"] > MEMORY_MB:
            self.overcommits += 1
            sent.phase, sent.status = "answered", 507
            return
        self.loaded[body["replica_id"]] = EngineModel(
            body["replica_id"], "m", "v", body["memory_mb"], body["fence"], False
        )

    def finish(self, sent, well):
        """Finish a running order."""
        replica_id = sent.effect.body["replica_id"]
        sent.phase, sent.status = "answered", 200 if well else 502
        item = self.loaded.get(replica_id)
        if sent.effect.kind == "load":
            if item is None or not well:
                # An unload overtook the load, or the checkpoint was corrupt.
                sent.status = 502
                if item is not None and not item.ready:
                    del self.loaded[replica_id]
                return
            self.loaded[replica_id] = EngineModel(
                replica_id, "m", "v", item.memory_mb, item.fence, True
            )
        elif well:
            self.loaded.pop(replica_id, None)

    def restart(self):
        """Lose all replicas and all orders, including those in transit."""
        self.boot += 1
        self.highest_fence = 0
        self.loaded = {}
        for sent in self.sent:
            if sent.phase != "answered":
                sent.phase, sent.status = "answered", 0

    def inventory(self):
        return EngineInventory(
            f"boot-{self.boot}",
            MEMORY_MB,
            self.used_mb,
            list(self.loaded.values()),
            self.highest_fence if self.refuses_old else 0,
            [sent.effect.body["fence"] for sent in self.sent if sent.phase == "running"],
        )


def reply_of(sent):
    """Return the reply that the agent receives for an answered order."""
    if sent.status == 0:
        return OrderReply(None, "connection lost")
    return OrderReply.of_status(sent.status, "")


def dispatch(request_id, attempt, **changes):
    """Return a dispatch to replica r1 of model m, with some fields changed."""
    values = {
        "model": "m",
        "adapter": "",
        "replica_id": "r1",
        "table_revision": 10,
        "path": "/v1/chat/completions",
        "body": b"{}",
        "deadline_ms": 10_000,
        "streaming": False,
        "priority": 50,
        "fingerprint": "f",
        "run_once": False,
        "resumable": False,
    }
    return Dispatch(request_id, attempt, **{**values, **changes})
