"""Send orders to agents and process order results and inventories."""

from hemlockdock_control.orders.inventories import InventoryReport, inventory_commands
from hemlockdock_control.orders.outcomes import outcome_commands
from hemlockdock_control.orders.pending_orders import PendingOrders

__all__ = ["InventoryReport", "PendingOrders", "inventory_commands", "outcome_commands"]
