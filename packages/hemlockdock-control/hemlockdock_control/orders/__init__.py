"""Order agents to do what was decided, and learn what became of it."""

from hemlockdock_control.orders.inventories import InventoryReport, inventory_commands
from hemlockdock_control.orders.order_book import OrderBook
from hemlockdock_control.orders.outcomes import outcome_commands

__all__ = ["InventoryReport", "OrderBook", "inventory_commands", "outcome_commands"]
