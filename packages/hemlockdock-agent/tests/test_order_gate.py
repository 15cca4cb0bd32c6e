"""Fuzz the order gate against a control that counts and an engine that answers late or never."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from support import (
    MEMORY_MB,
    Sent,
    SmallControl,
    SmallEngine,
    fuzz,
    reply_of,
    settings,
)

from hemlockdock_agent.orders import (
    AskInventory,
    OrderGate,
    ReportInventory,
    ReportResult,
    SendOrder,
)

picks = st.integers(0, 7)


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

    def start_agent(self):
        self.incarnation += 1
        self.control.incarnation = self.incarnation
        self.gate = OrderGate(settings(self.fencing), self.incarnation, self.now_ms)
        self.asks = []
        self.busy = set()

    def run_effects(self, effects):
        for effect in effects:
            if isinstance(effect, SendOrder):
                deadline_ms = self.now_ms + effect.timeout_ms
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

    @rule(memory_mb=st.sampled_from([30, 40, 70]))
    def decide(self, memory_mb):
        self.control.decide(memory_mb)

    @rule(index=picks)
    def withdraw(self, index):
        decision = self.pick(self.control.decision_by_id.values(), index)
        if decision is not None and decision.state != "unloading":
            self.control.withdraw(decision.replica_id)

    @rule(index=picks)
    def control_sends(self, index):
        replica_id = self.pick(self.control.decision_by_id, index)
        order = self.control.order(replica_id) if replica_id else None
        if order is not None:
            self.orders.append(order)

    @rule(index=picks, keep=st.booleans())
    def order_arrives(self, index, keep):
        order = self.pick(self.orders, index)
        if order is None:
            return
        if not keep:
            self.orders.remove(order)
        self.run_effects(self.gate.receive(order, self.now_ms))
        self.advance()

    @rule(index=picks, keep=st.booleans())
    def report_arrives(self, index, keep):
        report = self.pick(self.reports, index)
        if report is None:
            return
        if not keep:
            self.reports.remove(report)
        body, incarnation = report
        if hasattr(body, "outcome"):
            self.control.take_result(body, incarnation)

    @rule()
    def inventory_reaches_control(self):
        # Inventories of one agent come by one link, so only the latest one counts.
        self.control.take_inventory(self.gate.inventory(), self.incarnation)

    @rule(index=picks)
    def order_reaches_engine(self, index):
        sent = self.pick([sent for sent in self.engine.sent if sent.phase == "under way"], index)
        if sent is not None:
            self.engine.arrive(sent)

    @rule(index=picks, well=st.sampled_from([True, True, True, False]))
    def engine_finishes(self, index, well):
        sent = self.pick([sent for sent in self.engine.sent if sent.phase == "running"], index)
        if sent is not None:
            self.engine.finish(sent, well)

    @rule(index=picks, lost=st.sampled_from([False, False, True]))
    def engine_answers(self, index, lost):
        done = [sent for sent in self.engine.sent if sent.phase == "answered" and sent.client_waits]
        sent = self.pick(done, index)
        if sent is not None:
            self.answer(sent, lost)

    @rule(index=picks)
    def connection_breaks(self, index):
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

    @rule()
    def ask(self):
        self.run_effects([self.gate.ask(self.now_ms)])

    @rule(index=picks)
    def engine_takes_question(self, index):
        asked = self.pick([asked for asked in self.asks if asked[1] is None], index)
        if asked is not None:
            asked[1] = self.engine.inventory()

    @rule(index=picks, lost=st.sampled_from([False, False, False, True]))
    def inventory_arrives(self, index, lost):
        asked = self.pick([asked for asked in self.asks if asked[1] is not None], index)
        if asked is None:
            return
        self.asks.remove(asked)
        inventory = None if lost else asked[1]
        self.run_effects(self.gate.take_inventory(inventory, asked[0], self.now_ms))
        self.advance()

    @rule(duration_ms=st.sampled_from([10, 150, 600, 1_100]))
    def time_passes(self, duration_ms):
        self.now_ms += duration_ms
        for sent in self.engine.sent:
            overdue = self.now_ms >= sent.deadline_ms
            if overdue and not self.engine.refuses_old and sent.phase != "answered":
                # Such engines carry an order out within its timeout, or never.
                if sent.phase == "running":
                    self.engine.finish(sent, False)
                sent.phase, sent.status = "answered", sent.status
            if overdue and sent.client_waits:
                self.answer(sent, True)
        self.advance()

    @rule(index=picks)
    def requests_come_or_go(self, index):
        replica_id = self.pick(self.gate.holdings.replica_by_id, index)
        if replica_id is not None:
            self.busy.symmetric_difference_update([replica_id])

    @rule()
    def engine_crashes(self):
        self.engine.restart()
        # What was answered before the crash is void as well.
        self.asks = [asked for asked in self.asks if asked[1] is None]

    @precondition(lambda self: self.gate.boot_id)
    @rule()
    def agent_restarts(self):
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
        self.time_passes(10)
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
        self.control.take_inventory(self.gate.inventory(), self.incarnation)
        for invariant_ in (
            self.nothing_is_loaded_that_was_not_decided,
            self.memory_is_never_overcommitted,
            self.orders_never_overlap_where_fences_are_ignored,
        ):
            invariant_()


class IgnoredFencesMachine(OrderGateMachine):
    """Do the same with an engine that obeys orders with old fences."""

    fencing = "ignored"


OrderGateFuzz = fuzz(OrderGateMachine, 60, 60)
IgnoredFencesFuzz = fuzz(IgnoredFencesMachine, 60, 60)


if __name__ == "__main__":
    unittest.main()
