"""Order agents to do what was decided, and learn what became of it."""

from hemlockdock_control.orders.inventories import InventoryReport, inventory_commands
from hemlockdock_control.orders.outcomes import outcome_commands
from hemlockdock_control.orders.pending_orders import PendingOrders

__all__ = ["InventoryReport", "PendingOrders", "inventory_commands", "outcome_commands"]
