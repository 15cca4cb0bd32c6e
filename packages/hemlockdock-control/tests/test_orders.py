"""Test sending orders and handling order results and inventories."""

import unittest

from support import StateDriver, settings, submission

from hemlockdock_control.orders import (
    InventoryReport,
    PendingOrders,
    inventory_commands,
    outcome_commands,
)
from hemlockdock_control.orders.pending_orders import REPEAT_MS
from hemlockdock_core.commands import (
    AdapterLoaded,
    DecideAdapter,
    DecideLoad,
    DecideUnload,
    ReplicaGone,
    ReplicaReady,
)
from hemlockdock_core.messages import (
    Inventory,
    InventoryModel,
    LoadOrder,
    OrderOutcome,
    OrderResult,
    UnloadOrder,
)


class OrdersCase(unittest.TestCase):
    def setUp(self):
        self.driver = StateDriver()
        self.driver.apply(submission(1, adapters=("a1",), most_replicas=2))
        self.driver.add_agent("agent-1")
        result = self.driver.apply(DecideLoad("m1", "v1", "agent-1", 1, 1, "test"))
        self.replica_id = result.owner
        self.fence = result.revision

    @property
    def state(self):
        return self.driver.state

    def mark_ready(self):
        self.driver.apply(ReplicaReady(self.replica_id, self.fence, 1, 1, 1))

    def report(self, loaded, highest_fence, incarnation=1, in_flight=()):
        inventory = Inventory(loaded, highest_fence, [], [], list(in_flight))
        return InventoryReport("agent-1", incarnation, self.state.index, inventory)

    def loaded(self, adapters=()):
        return InventoryModel(self.replica_id, "m1", "v1", 40, self.fence, list(adapters))


class PendingOrdersTest(OrdersCase):
    def due(self, now_ms, reports=None):
        addressed_orders = self.pending_orders.due(self.state, reports or {}, now_ms)
        return [addressed_order.order for addressed_order in addressed_orders]

    def setUp(self):
        super().setUp()
        self.pending_orders = PendingOrders(settings())

    def test_order_is_repeated_until_its_result_is_committed(self):
        self.assertEqual([type(item) for item in self.due(0)], [LoadOrder])
        self.assertEqual(self.due(REPEAT_MS - 1), [])
        self.assertEqual([item.fence for item in self.due(REPEAT_MS)], [self.fence])
        self.mark_ready()
        self.assertEqual(self.due(2 * REPEAT_MS), [])

    def test_undecided_models_are_unloaded_before_any_load(self):
        undecided_model = InventoryModel("r999", "m1", "v1", 40, 1, [])
        orders = self.due(0, {"agent-1": self.report([undecided_model], 0)})
        self.assertEqual([type(item) for item in orders], [UnloadOrder])
        self.assertEqual(orders[0].replica_id, "r999")


class OutcomeTest(OrdersCase):
    def commands(self, fence, outcome, sender="agent-1", incarnation=1):
        result = OrderResult(self.replica_id, fence, outcome)
        return outcome_commands(result, sender, incarnation, self.state, 1)

    def test_failed_load_is_unloaded_and_not_recorded_as_gone(self):
        for outcome in (OrderOutcome.FAILED, OrderOutcome.TIMED_OUT):
            commands = self.commands(self.fence, outcome)
            self.assertEqual([type(item) for item in commands], [DecideUnload])

    def test_result_with_old_fence_does_not_complete_the_unload(self):
        self.driver.apply(DecideUnload(self.replica_id, 1, "test"))
        self.assertEqual(self.commands(self.fence, OrderOutcome.DONE), [])
        commands = self.commands(self.state.index, OrderOutcome.DONE)
        self.assertEqual([type(item) for item in commands], [ReplicaGone])

    def test_results_of_other_nodes_and_old_incarnations_are_ignored(self):
        self.assertEqual(self.commands(self.fence, OrderOutcome.DONE, sender="agent-2"), [])
        self.driver.add_agent("agent-1", incarnation=2)
        self.assertEqual(self.commands(self.fence, OrderOutcome.DONE, incarnation=1), [])


class InventoryTest(OrdersCase):
    def commands(self, report):
        return [type(item) for item in inventory_commands(report, self.state, 1)]

    def test_unfinished_load_is_not_recorded_as_gone(self):
        self.assertEqual(self.commands(self.report([], self.fence)), [])
        self.assertEqual(self.commands(self.report([], self.fence, in_flight=[self.fence])), [])

    def test_only_a_later_inventory_removes_a_ready_replica(self):
        self.mark_ready()
        self.assertEqual(self.commands(self.report([], self.fence - 1)), [])
        self.assertEqual(self.commands(self.report([], self.fence)), [ReplicaGone])

    def test_adapter_result_keeps_the_replica_in_the_inventory(self):
        self.mark_ready()
        fence = self.driver.apply(DecideAdapter(self.replica_id, "a1", 1)).revision
        report = self.report([self.loaded()], fence)
        result = OrderResult(self.replica_id, fence, OrderOutcome.DONE)
        self.assertEqual(report.without_unloaded(result, self.state), report)

    def test_inventory_from_before_an_adapter_load_does_not_drop_the_adapter(self):
        self.mark_ready()
        self.driver.apply(DecideAdapter(self.replica_id, "a1", 1))
        self.driver.apply(AdapterLoaded(self.replica_id, "a1", 1, 1))
        self.assertEqual(self.commands(self.report([self.loaded()], self.fence)), [])

    def test_late_older_inventory_does_not_supersede_a_newer_one(self):
        newer = self.report([], self.fence)
        self.assertFalse(self.report([], self.fence - 1).supersedes(newer))
        self.assertTrue(self.report([], 0, incarnation=2).supersedes(newer))


if __name__ == "__main__":
    unittest.main()
