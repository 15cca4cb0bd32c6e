"""Schedule orders for one engine and send them."""

from hemlockdock_agent.orders.effects import (
    ReportInventory,
    ReportResult,
    RequestInventory,
    SendOrder,
)
from hemlockdock_agent.orders.gate import OrderGate
from hemlockdock_agent.orders.held_replica import HeldReplica

__all__ = [
    "HeldReplica",
    "OrderGate",
    "ReportInventory",
    "ReportResult",
    "RequestInventory",
    "SendOrder",
]
