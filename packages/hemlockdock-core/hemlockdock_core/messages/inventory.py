"""Message that reports the models loaded in an engine."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message


class InventoryModel(msgspec.Struct, frozen=True, array_like=True):
    """A model loaded in an engine.

    Attributes
    ----------
    replica_id : str
    model : str
    version : str
    memory_mb : int
    fence : int
        Fencing token of the replica.
    adapters : list of str
    """

    replica_id: str
    model: str
    version: str
    memory_mb: int
    fence: int
    adapters: list[str] = []


class Inventory(Message, frozen=True):
    """All models loaded in an engine. Sent by an agent to control.

    Sent after every start and after every change.

    Attributes
    ----------
    loaded : list of InventoryModel
    highest_fence : int
        Highest fencing token that the agent has accepted in this incarnation.
    cached_on_disk : list of str
        ``model/version`` names of the checkpoints cached on the host's disk.
    cached_in_memory : list of str
        ``model/version`` names of the checkpoints cached in the host's memory.
    orders_in_flight : list of int
        Fencing tokens of the orders in progress.
    """

    expects_answer: ClassVar[bool] = False

    loaded: list[InventoryModel]
    highest_fence: int
    cached_on_disk: list[str] = []
    cached_in_memory: list[str] = []
    orders_in_flight: list[int] = []
