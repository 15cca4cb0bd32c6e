"""Test order handling with simulated agents on a network that loses and reorders messages."""

import unittest
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support import StateDriver, fuzz, node_info, settings, submission

from hemlockdock_control.orders import (
    InventoryReport,
    PendingOrders,
    inventory_commands,
    outcome_commands,
)
from hemlockdock_control.orders.pending_orders import REPEAT_MS
from hemlockdock_core.commands import (
    DecideAdapter,
    DecideAdapterUnload,
    DecideLoad,
    DecideUnload,
    NodeLost,
    RegisterNode,
)
from hemlockdock_core.messages import (
    Inventory,
    InventoryModel,
    LoadAdapterOrder,
    LoadOrder,
    OrderOutcome,
    OrderResult,
    UnloadAdapterOrder,
)
from hemlockdock_core.rows import ReplicaState

AGENTS = ("agent-1", "agent-2")
MEMORY_MB = 100
MODEL_MB = 40
ADAPTER_MB = 10

agents = st.sampled_from(AGENTS)
# Disruptive steps are drawn less often, so that replicas get loaded in between.
rarely = st.integers(0, 5).map(lambda number: number == 0)


@dataclass
class SimulatedAgent:
    """Simulate an agent and its engine, which keeps running when the agent restarts."""

    node_id: str
    incarnation: int = 1
    highest_fence: int = 0
    loaded: dict = field(default_factory=dict)
    loading: dict = field(default_factory=dict)
    result_by_fence: dict = field(default_factory=dict)

    @property
    def used_mb(self):
        held = [*self.loaded.values(), *self.loading.values()]
        return sum(MODEL_MB + ADAPTER_MB * len(item.adapters) for item in held)

    def execute(self, order):
        """Return the result, or None if the order is running or for another incarnation."""
        if order.incarnation != self.incarnation:
            return None
        if order.fence in self.result_by_fence:
            return self.result_by_fence[order.fence]
        if any(item.fence == order.fence for item in self.loading.values()):
            return None
        if order.fence < self.highest_fence:
            return OrderResult(order.replica_id, order.fence, OrderOutcome.REFUSED_OLD_FENCE)
        self.highest_fence = order.fence
        if isinstance(order, LoadOrder) and order.replica_id not in self.loaded:
            return self.begin_load(order)
        return self.record_result(order.replica_id, order.fence, self.apply_change(order))

    def begin_load(self, order):
        if self.used_mb + order.memory_mb > MEMORY_MB:
            return self.record_result(order.replica_id, order.fence, OrderOutcome.REFUSED_NO_MEMORY)
        self.loading[order.replica_id] = InventoryModel(
            order.replica_id, order.model, order.version, order.memory_mb, order.fence
        )
        return None

    def apply_change(self, order):
        item = self.loaded.get(order.replica_id)
        if isinstance(order, LoadOrder):
            return OrderOutcome.DONE
        if isinstance(order, LoadAdapterOrder):
            if item is None or self.used_mb + ADAPTER_MB > MEMORY_MB:
                return OrderOutcome.FAILED
            item.adapters.append(order.adapter)
            return OrderOutcome.DONE
        if isinstance(order, UnloadAdapterOrder):
            if item is not None and order.adapter in item.adapters:
                item.adapters.remove(order.adapter)
            return OrderOutcome.DONE
        self.loaded.pop(order.replica_id, None)
        self.loading.pop(order.replica_id, None)
        return OrderOutcome.DONE

    def finish(self, replica_id, outcome, keep):
        item = self.loading.pop(replica_id)
        if keep:
            self.loaded[replica_id] = item
        return self.record_result(replica_id, item.fence, outcome)

    def record_result(self, replica_id, fence, outcome):
        result = OrderResult(replica_id, fence, outcome)
        self.result_by_fence[fence] = result
        return result

    def restart(self, engine_too):
        """Start a new incarnation; pending loads complete unless the engine restarts too."""
        self.incarnation += 1
        self.highest_fence = 0
        self.result_by_fence = {}
        self.loaded.update(self.loading)
        self.loading = {}
        if engine_too:
            self.loaded = {}

    def inventory(self):
        loaded = [
            InventoryModel(i.replica_id, i.model, i.version, i.memory_mb, i.fence, list(i.adapters))
            for i in self.loaded.values()
        ]
        in_flight = [item.fence for item in self.loading.values()]
        return Inventory(loaded, self.highest_fence, [], [], in_flight)


class OrdersFuzz(RuleBasedStateMachine):
    """Check after each step that engines hold only what the committed state lists."""

    fencing = "refuses_old"

    def __init__(self):
        super().__init__()
        self.driver = StateDriver()
        self.apply(submission(1, adapters=("a1", "a2"), most_replicas=2, fencing=self.fencing))
        self.agent_by_id = {node_id: SimulatedAgent(node_id) for node_id in AGENTS}
        self.pending_orders = PendingOrders(settings())
        self.now_ms = 0.0
        self.report_by_id = {}
        self.letters = []
        self.replies = []
        for node_id in AGENTS:
            self.driver.add_agent(node_id, memory_mb=MEMORY_MB)

    @property
    def state(self):
        return self.driver.state

    def apply(self, command):
        return self.driver.apply(command)

    @rule(node_id=agents)
    def register(self, node_id):
        agent = self.agent_by_id[node_id]
        self.apply(RegisterNode(node_info(node_id, memory_mb=MEMORY_MB), agent.incarnation, 1))

    @rule(node_id=agents)
    def send_inventory(self, node_id):
        agent = self.agent_by_id[node_id]
        self.replies.append((node_id, agent.incarnation, agent.inventory()))

    @rule(node_ids=st.lists(agents, min_size=1, max_size=2))
    def decide_loads(self, node_ids):
        for node_id in node_ids:
            record = self.state.nodes.record_by_id[node_id]
            self.apply(DecideLoad("m1", "v1", node_id, record.incarnation, 1, "fuzz"))
        self.send_orders(lost=False)

    @rule(data=st.data(), adapter=st.sampled_from(("a1", "a2")), what=st.integers(0, 3))
    def decide(self, data, adapter, what):
        if not self.state.replicas.record_by_id:
            return
        replica_id = data.draw(st.sampled_from(sorted(self.state.replicas.record_by_id)))
        command = (
            DecideUnload(replica_id, 1, "fuzz"),
            DecideAdapter(replica_id, adapter, 1),
            DecideAdapter(replica_id, adapter, 1),
            DecideAdapterUnload(replica_id, adapter, 1),
        )[what]
        self.apply(command)

    @rule(lost=rarely)
    def send_orders(self, lost):
        self.now_ms += REPEAT_MS
        letters = self.pending_orders.due(self.state, self.report_by_id, self.now_ms)
        if self.fencing == "ignored":
            targets = [letter.node_id for letter in letters]
            assert len(targets) == len(set(targets)), "one order at a time"
        self.letters.extend([] if lost else letters)

    @rule(data=st.data(), again=rarely, load_ends=st.booleans())
    def deliver_order(self, data, again, load_ends):
        if not self.letters:
            return
        position = data.draw(st.integers(0, len(self.letters) - 1))
        letter = self.letters[position] if again else self.letters.pop(position)
        agent = self.agent_by_id[letter.node_id]
        self.reply(agent, agent.execute(letter.order))
        if load_ends and letter.order.replica_id in agent.loading:
            self.reply(agent, agent.finish(letter.order.replica_id, OrderOutcome.DONE, keep=True))

    @rule(node_id=agents, data=st.data(), done=st.booleans(), keep=st.booleans())
    def finish_load(self, node_id, data, done, keep):
        agent = self.agent_by_id[node_id]
        if not agent.loading:
            return
        replica_id = data.draw(st.sampled_from(sorted(agent.loading)))
        outcome = OrderOutcome.DONE if done else OrderOutcome.TIMED_OUT
        self.reply(agent, agent.finish(replica_id, outcome, keep or done))

    def reply(self, agent, result):
        if result is not None:
            self.replies.append((agent.node_id, agent.incarnation, result))

    @rule(data=st.data(), again=rarely, lost=rarely)
    def deliver_reply(self, data, again, lost):
        if not self.replies:
            return
        position = data.draw(st.integers(0, len(self.replies) - 1))
        sender, incarnation, body = self.replies[position]
        if not again:
            self.replies.pop(position)
        if lost:
            return
        if isinstance(body, Inventory):
            self.handle_inventory(sender, incarnation, body)
        else:
            self.handle_result(sender, incarnation, body)

    def handle_inventory(self, sender, incarnation, inventory):
        report = InventoryReport(sender, incarnation, self.state.index, inventory)
        if report.supersedes(self.report_by_id.get(sender)):
            self.report_by_id[sender] = report

    def handle_result(self, sender, incarnation, result):
        report = self.report_by_id.get(sender)
        if report is not None and report.incarnation == incarnation:
            self.report_by_id[sender] = report.without_unloaded(result, self.state)
        for command in outcome_commands(result, sender, incarnation, self.state, 1):
            self.apply(command)

    @rule()
    def reconcile(self):
        for report in self.report_by_id.values():
            for command in inventory_commands(report, self.state, 1):
                self.apply(command)

    @rule(node_id=agents, engine_too=st.booleans(), now=rarely)
    def restart_agent(self, node_id, engine_too, now):
        if now:
            self.agent_by_id[node_id].restart(engine_too)

    @rule(node_id=agents, now=rarely)
    def crash_engine(self, node_id, now):
        if not now:
            return
        agent = self.agent_by_id[node_id]
        for replica_id in list(agent.loading):
            self.reply(agent, agent.finish(replica_id, OrderOutcome.FAILED, keep=False))
        agent.loaded.clear()

    @rule(node_id=agents, certain=st.booleans(), now=rarely)
    def lose(self, node_id, certain, now):
        if not now:
            return
        agent = self.agent_by_id[node_id]
        incarnation = self.state.nodes.record_by_id[node_id].incarnation
        if certain:
            # A node that is certainly lost holds nothing and returns as a new incarnation.
            agent.restart(engine_too=True)
        self.apply(NodeLost(node_id, incarnation, 1, certain))

    @rule()
    def change_leader(self):
        self.pending_orders.clear_sent()
        self.report_by_id.clear()

    def teardown(self):
        """Deliver all messages in order, and check that every order completes."""
        for node_id in AGENTS:
            self.register(node_id)
        for _ in range(12):
            for node_id in AGENTS:
                self.send_inventory(node_id)
            self.now_ms += REPEAT_MS
            self.letters.extend(self.pending_orders.due(self.state, self.report_by_id, self.now_ms))
            self.letters, letters = [], self.letters
            for letter in letters:
                agent = self.agent_by_id[letter.node_id]
                self.reply(agent, agent.execute(letter.order))
            for agent in self.agent_by_id.values():
                for replica_id in list(agent.loading):
                    self.reply(agent, agent.finish(replica_id, OrderOutcome.DONE, keep=True))
            self.replies, replies = [], self.replies
            for sender, incarnation, body in replies:
                if isinstance(body, Inventory):
                    self.handle_inventory(sender, incarnation, body)
                else:
                    self.handle_result(sender, incarnation, body)
                self.engines_hold_what_was_decided()
            self.reconcile()
        for record in self.state.replicas.record_by_id.values():
            assert record.state is ReplicaState.READY, record
            agent = self.agent_by_id[record.node_id]
            assert record.replica_id in agent.loaded
            usable = {name for name, item in record.adapter_by_name.items() if item.usable}
            assert usable == set(agent.loaded[record.replica_id].adapters)
        for record in self.state.nodes.record_by_id.values():
            assert record.inventoried and not record.undecided_mb

    @invariant()
    def engines_hold_what_was_decided(self):
        held_by_model = {}
        for agent in self.agent_by_id.values():
            assert agent.used_mb <= MEMORY_MB
            for replica_id, item in [*agent.loaded.items(), *agent.loading.items()]:
                record = self.state.replicas.record_by_id.get(replica_id)
                assert record is not None, f"{replica_id} is held but not decided"
                assert record.node_id == agent.node_id
                held_by_model[item.model] = held_by_model.get(item.model, 0) + 1
        for model, held in held_by_model.items():
            assert held <= self.state.replicas.count_of(model) <= 2

    @invariant()
    def memory_is_not_promised_twice(self):
        for node_id in AGENTS:
            assert self.state.replicas.reserved_mb(node_id) <= MEMORY_MB


class IgnoredFencesFuzz(OrdersFuzz):
    """Repeat the test with engines that ignore fences and get one order at a time."""

    fencing = "ignored"


OrdersFuzzTest = fuzz(OrdersFuzz, 120, 60)
IgnoredFencesFuzzTest = fuzz(IgnoredFencesFuzz, 60, 60)

if __name__ == "__main__":
    unittest.main()
