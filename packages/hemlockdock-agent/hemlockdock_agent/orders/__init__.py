"""Schedule orders for one engine and send them."""

from hemlockdock_agent.orders.effects import (
    AskInventory,
    ReportInventory,
    ReportResult,
    SendOrder,
)
from hemlockdock_agent.orders.gate import OrderGate
from hemlockdock_agent.orders.held_replica import HeldReplica

__all__ = [
    "AskInventory",
    "HeldReplica",
    "OrderGate",
    "ReportInventory",
    "ReportResult",
    "SendOrder",
]
