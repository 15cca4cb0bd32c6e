"""Communicate with one engine over HTTP."""

from hemlockdock_agent.engine.client import EngineClient
from hemlockdock_agent.engine.inventory import EngineInventory, EngineModel
from hemlockdock_agent.engine.order_reply import OrderReply

__all__ = ["EngineClient", "EngineInventory", "EngineModel", "OrderReply"]
