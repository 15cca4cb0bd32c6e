"""Fuzz the order gate against a fake control and an engine that replies late or never."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support import (
    MEMORY_MB,
    TIMEOUT_MS,
    Sent,
    SmallControl,
    SmallEngine,
    fuzz,
    reply_of,
    settings,
)

from hemlockdock_agent.engine import EngineInventory, EngineModel, OrderReply
from hemlockdock_agent.orders import (
    AskInventory,
    OrderGate,
    ReportInventory,
    ReportResult,
    SendOrder,
)
from hemlockdock_core.messages import LoadAdapterOrder, LoadOrder, OrderOutcome
from hemlockdock_core.rows import ReplicaRow, ReplicaState, RoutingTable

ACTIONS = (
    ["decide"] * 4
    + ["withdraw"] * 3
    + ["engine_obeys"] * 6
    + ["inventory_is_asked_and_answered"] * 3
    + ["results_reach_control"] * 3
    + ["control_sends", "order_arrives", "order_arrives", "report_arrives"]
    + ["order_reaches_engine", "engine_finishes", "engine_answers", "connection_breaks"]
    + ["ask", "engine_takes_question", "inventory_arrives", "inventory_reaches_control"]
    + ["time_passes"] * 3
    + ["requests_come_or_go", "engine_crashes", "agent_restarts"]
)


class OrderGateMachine(RuleBasedStateMachine):
    """Deliver orders, answers and inventories late, twice, in any order, or never."""

    fencing = "refuses_old"

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.control = SmallControl()
        self.engine = SmallEngine(self.fencing == "refuses_old")
        self.orders = []
        self.reports = []
        self.asks = []
        self.busy = set()
        self.incarnation = 0
        self.start_agent()
        self.inventory_is_asked_and_answered()

    @rule(action=st.sampled_from(ACTIONS), index=st.integers(0, 11), flag=st.booleans())
    def act(self, action, index, flag):
        getattr(self, action)(index, flag)

    def start_agent(self):
        self.incarnation += 1
        self.control.incarnation = self.incarnation
        self.gate = OrderGate(settings(self.fencing), self.incarnation, self.now_ms)
        self.asks = []
        self.busy = set()
        self.advance()

    def run_effects(self, effects):
        for effect in effects:
            if isinstance(effect, SendOrder):
                deadline_ms = self.now_ms + effect.timeout_ms
                if effect.kind == "unload":
                    assert effect.body["replica_id"] not in self.busy
                self.engine.sent.append(Sent(effect, self.gate, deadline_ms))
            elif isinstance(effect, AskInventory):
                self.asks.append([effect, None])
            elif isinstance(effect, ReportResult):
                self.reports.append((effect.result, self.incarnation))
            elif isinstance(effect, ReportInventory):
                self.reports.append((self.gate.inventory(), self.incarnation))

    def advance(self):
        self.run_effects(self.gate.advance(self.now_ms, self.busy.__contains__))

    def pick(self, items, index):
        items = list(items)
        return items[index % len(items)] if items else None

    def decide(self, index, arrives):
        memory_mb = (30, 40, 70)[index % 3]
        known = set(self.control.decision_by_id)
        self.control.decide(memory_mb)
        for replica_id in set(self.control.decision_by_id) - known:
            self.send(replica_id, arrives)

    def withdraw(self, index, arrives):
        decision = self.pick(self.control.decision_by_id.values(), index)
        if decision is not None and decision.state != "unloading":
            self.control.withdraw(decision.replica_id)
            self.send(decision.replica_id, arrives)

    def send(self, replica_id, arrives):
        # A copy stays in transit and may arrive much later.
        self.orders.append(self.control.order(replica_id))
        if arrives:
            self.order_arrives(len(self.orders) - 1, True)

    def engine_obeys(self, index, doubtful):
        well = not doubtful or index % 2 == 0
        sent = self.pick([sent for sent in self.engine.sent if sent.phase == "under way"], index)
        if sent is None:
            return
        self.engine.arrive(sent)
        if sent.phase == "running":
            self.engine.finish(sent, well)
        if sent.client_waits:
            self.answer(sent, False)

    def inventory_is_asked_and_answered(self, index=0, flag=False):
        self.ask()
        asked = self.asks.pop()
        inventory = self.engine.inventory()
        self.run_effects(self.gate.take_inventory(inventory, asked[0], self.now_ms))
        self.advance()

    def results_reach_control(self, index=0, flag=False):
        reports, self.reports = self.reports, []
        for body, incarnation in reports:
            if hasattr(body, "outcome"):
                self.control.take_result(body, incarnation)

    def control_sends(self, index, flag):
        replica_id = self.pick(self.control.decision_by_id, index)
        order = self.control.order(replica_id) if replica_id else None
        if order is not None:
            self.orders.append(order)

    def order_arrives(self, index, keep):
        order = self.pick(self.orders, index)
        if order is None:
            return
        if not keep:
            self.orders.remove(order)
        self.run_effects(self.gate.receive(order, self.now_ms))
        self.advance()

    def report_arrives(self, index, keep):
        report = self.pick(self.reports, index)
        if report is None:
            return
        if not keep:
            self.reports.remove(report)
        body, incarnation = report
        if hasattr(body, "outcome"):
            self.control.take_result(body, incarnation)

    def inventory_reaches_control(self, index=0, flag=False):
        # Inventories of one agent arrive over one link, so only the latest one counts.
        if not self.gate.boot_id:
            # The agent sends no inventory before its engine has reported one.
            return
        inventory = self.gate.inventory()
        for item in inventory.loaded:
            known = self.engine.loaded.get(item.replica_id)
            same_boot = self.gate.boot_id == f"boot-{self.engine.boot}"
            if known is not None and same_boot and item.fence not in inventory.orders_in_flight:
                assert known.ready, item
        self.control.take_inventory(self.gate.inventory(), self.incarnation)

    def order_reaches_engine(self, index, flag):
        sent = self.pick([sent for sent in self.engine.sent if sent.phase == "under way"], index)
        if sent is not None:
            self.engine.arrive(sent)

    def engine_finishes(self, index, doubtful):
        well = not doubtful or index % 2 == 0
        sent = self.pick([sent for sent in self.engine.sent if sent.phase == "running"], index)
        if sent is not None:
            self.engine.finish(sent, well)

    def engine_answers(self, index, doubtful):
        lost = doubtful and index % 2 == 0
        done = [sent for sent in self.engine.sent if sent.phase == "answered" and sent.client_waits]
        sent = self.pick(done, index)
        if sent is not None:
            self.answer(sent, lost)

    def connection_breaks(self, index, flag):
        sent = self.pick([sent for sent in self.engine.sent if sent.client_waits], index)
        if sent is not None:
            self.answer(sent, True)

    def answer(self, sent, lost):
        sent.client_waits = False
        if sent.gate is not self.gate:
            return
        if lost:
            sent.status = sent.status if sent.phase != "answered" else 0
        reply = reply_of(sent)
        self.run_effects(self.gate.replied(sent.effect.key, reply, self.now_ms))
        self.advance()

    def ask(self, index=0, flag=False):
        self.run_effects([self.gate.ask(self.now_ms)])

    def engine_takes_question(self, index, flag):
        asked = self.pick([asked for asked in self.asks if asked[1] is None], index)
        if asked is not None:
            asked[1] = self.engine.inventory()

    def inventory_arrives(self, index, doubtful):
        lost = doubtful and index % 4 == 0
        asked = self.pick([asked for asked in self.asks if asked[1] is not None], index)
        if asked is None:
            return
        self.asks.remove(asked)
        inventory = None if lost else asked[1]
        self.run_effects(self.gate.take_inventory(inventory, asked[0], self.now_ms))
        self.advance()

    def time_passes(self, index, flag):
        self.now_ms += (10, 150, 600, 1_100)[index % 4]
        for sent in self.engine.sent:
            overdue = self.now_ms >= sent.deadline_ms
            if overdue and not self.engine.refuses_old and sent.phase != "answered":
                # An engine that ignores fences executes an order within its timeout or never.
                if sent.phase == "running":
                    self.engine.finish(sent, False)
                sent.phase, sent.status = "answered", sent.status
            if overdue and sent.client_waits:
                self.answer(sent, True)
        self.advance()

    def requests_come_or_go(self, index, flag):
        replica_id = self.pick(self.gate.holdings.replica_by_id, index)
        if replica_id is not None:
            self.busy.symmetric_difference_update([replica_id])

    def engine_crashes(self, index, flag):
        self.engine.restart()
        # Inventories from before the crash are no longer delivered.
        self.asks = [asked for asked in self.asks if asked[1] is None]

    def agent_restarts(self, index, flag):
        self.start_agent()

    @invariant()
    def nothing_is_loaded_that_was_not_decided(self):
        undecided = set(self.engine.loaded) - set(self.control.decision_by_id)
        assert not undecided, f"undecided: {undecided}"

    @invariant()
    def memory_is_never_overcommitted(self):
        assert self.engine.overcommits == 0
        assert self.gate.holdings.reserved_mb <= MEMORY_MB

    @invariant()
    def orders_never_overlap_where_fences_are_ignored(self):
        assert self.engine.overlaps == 0

    @invariant()
    def fences_of_one_agent_never_go_back(self):
        own = [sent for sent in self.engine.sent if sent.gate is self.gate]
        fences = [sent.effect.body["fence"] for sent in own]
        if self.engine.boot == 1:
            assert fences == sorted(fences), fences

    def teardown(self):
        """Let everything settle; then all that is decided is there, and nothing else."""
        self.busy.clear()
        for _ in range(40):
            self.settle_once()
            states = {decision.state for decision in self.control.decision_by_id.values()}
            same = set(self.engine.loaded) == set(self.control.decision_by_id)
            if states <= {"ready"} and same:
                return
        raise AssertionError(f"no rest: {self.control.decision_by_id} {self.engine.loaded}")

    def settle_once(self):
        self.now_ms += 300
        self.time_passes(0, False)
        for asked in list(self.asks):
            asked[1] = asked[1] or self.engine.inventory()
            self.inventory_arrives(0, False)
        for replica_id in sorted(self.control.decision_by_id, key=lambda name: int(name[1:])):
            order = self.control.order(replica_id)
            if order is not None:
                self.run_effects(self.gate.receive(order, self.now_ms))
                self.advance()
        for sent in list(self.engine.sent):
            if sent.phase == "under way":
                self.engine.arrive(sent)
            if sent.phase == "running":
                self.engine.finish(sent, True)
            if sent.client_waits:
                self.answer(sent, False)
        self.ask()
        for body, incarnation in self.reports:
            if hasattr(body, "outcome"):
                self.control.take_result(body, incarnation)
        self.reports.clear()
        self.inventory_reaches_control()
        for invariant_ in (
            self.nothing_is_loaded_that_was_not_decided,
            self.memory_is_never_overcommitted,
            self.orders_never_overlap_where_fences_are_ignored,
        ):
            invariant_()


class IgnoredFencesMachine(OrderGateMachine):
    """Do the same with an engine that obeys orders with old fences."""

    fencing = "ignored"


class OrderGateTest(unittest.TestCase):
    def gate(self, loaded=(), used_mb=0, memory_mb=MEMORY_MB, fencing="refuses_old"):
        gate = OrderGate(settings(fencing), 5, 0.0)
        inventory = EngineInventory("boot-1", memory_mb, used_mb, list(loaded))
        gate.take_inventory(inventory, gate.ask(0.0), 0.0)
        return gate

    def outcomes(self, effects):
        return [item.result.outcome for item in effects if isinstance(item, ReportResult)]

    def test_memory_that_the_engine_itself_uses_is_not_reserved(self):
        gate = self.gate(used_mb=50)
        gate.receive(LoadOrder("r1", 1, "m", "v", 60, 2, 0, 5), 0.0)
        effects = gate.advance(0.0, lambda _: False)
        self.assertEqual(self.outcomes(effects), [OrderOutcome.REFUSED_NO_MEMORY])
        gate.receive(LoadOrder("r2", 2, "m", "v", 50, 2, 0, 5), 0.0)
        self.assertIsInstance(gate.advance(0.0, lambda _: False)[0], SendOrder)

    def test_the_smaller_of_reported_and_configured_memory_is_the_limit(self):
        gate = self.gate(memory_mb=40)
        gate.receive(LoadOrder("r1", 1, "m", "v", 60, 2, 0, 5), 0.0)
        effects = gate.advance(0.0, lambda _: False)
        self.assertEqual(self.outcomes(effects), [OrderOutcome.REFUSED_NO_MEMORY])

    def test_adapters_take_memory(self):
        gate = self.gate([EngineModel("r1", "m", "v", 80, 1, True)], used_mb=80)
        gate.receive(LoadAdapterOrder("r1", 2, "a", 15, 0, 5), 0.0)
        self.assertIsInstance(gate.advance(0.0, lambda _: False)[0], SendOrder)
        gate.receive(LoadOrder("r2", 3, "m", "v", 10, 2, 0, 5), 0.0)
        effects = gate.advance(0.0, lambda _: False)
        self.assertEqual(self.outcomes(effects), [OrderOutcome.REFUSED_NO_MEMORY])

    def test_the_first_order_waits_where_fences_are_ignored(self):
        gate = self.gate(fencing="ignored")
        gate.receive(LoadOrder("r1", 1, "m", "v", 60, 2, 0, 5), 0.0)
        early = gate.advance(TIMEOUT_MS - 1, lambda _: False)
        self.assertFalse([item for item in early if isinstance(item, SendOrder)])
        late = gate.advance(TIMEOUT_MS, lambda _: False)
        self.assertTrue([item for item in late if isinstance(item, SendOrder)])

    def test_an_inventory_requested_before_an_order_does_not_affect_its_replica(self):
        gate = self.gate()
        early = gate.ask(0.0)
        gate.receive(LoadOrder("r1", 1, "m", "v", 60, 2, 0, 5), 0.0)
        sent = gate.advance(0.0, lambda _: False)[0]
        gate.replied(sent.key, OrderReply.of_status(200, ""), 1.0)
        gate.take_inventory(EngineInventory("boot-1", MEMORY_MB, 0), early, 2.0)
        self.assertIn("r1", gate.holdings.replica_by_id)
        gate.take_inventory(EngineInventory("boot-1", MEMORY_MB, 0), gate.ask(3.0), 3.0)
        self.assertNotIn("r1", gate.holdings.replica_by_id)

    def test_an_inventory_requested_earlier_does_not_override_a_later_one(self):
        gate = self.gate()
        early, late = gate.ask(0.0), gate.ask(0.0)
        gate.take_inventory(EngineInventory("boot-2", MEMORY_MB, 0), late, 1.0)
        old = EngineInventory("boot-1", MEMORY_MB, 40, [EngineModel("r1", "m", "v", 40, 1, True)])
        self.assertEqual(gate.take_inventory(old, early, 2.0), [])
        self.assertEqual((gate.boot_id, gate.holdings.replica_by_id), ("boot-2", {}))

    def test_a_lapse_unloads_everything_and_ignores_further_orders(self):
        gate = self.gate([EngineModel("r1", "m", "v", 40, 1, True)], used_mb=40)
        gate.lapse(0.0)
        self.assertEqual(gate.receive(LoadOrder("r2", 9, "m", "v", 1, 2, 0, 5), 0.0), [])
        sent = gate.advance(0.0, lambda _: False)[0]
        self.assertEqual((sent.kind, sent.body["replica_id"]), ("unload", "r1"))
        gate.replied(sent.key, OrderReply.of_status(200, ""), 1.0)
        self.assertTrue(gate.is_empty)

    def test_a_result_is_repeated_until_the_table_reflects_it(self):
        gate = self.gate()
        gate.receive(LoadOrder("r1", 1, "m", "v", 60, 2, 0, 5), 0.0)
        sent = gate.advance(0.0, lambda _: False)[0]
        gate.replied(sent.key, OrderReply.of_status(200, ""), 1.0)
        self.assertEqual(self.outcomes(gate.advance(600.0, lambda _: False)), [OrderOutcome.DONE])
        table = RoutingTable()
        table.put(ReplicaRow("r1", "m", "v", "agent-1", ReplicaState.READY, 1, [], 2))
        gate.acknowledge_from_table(table)
        self.assertEqual(self.outcomes(gate.advance(9_000.0, lambda _: False)), [])


OrderGateFuzz = fuzz(OrderGateMachine, 150, 150)
IgnoredFencesFuzz = fuzz(IgnoredFencesMachine, 150, 150)


if __name__ == "__main__":
    unittest.main()
