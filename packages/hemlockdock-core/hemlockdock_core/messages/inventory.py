"""Report what an engine has loaded."""

import msgspec

from hemlockdock_core.messages.message import Message


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """Describe one loaded model.

    Attributes
    ----------
    replica_id : str
    model : str
    version : str
    memory_mb : int
    fence : int
    adapters : list of str
    """

    replica_id: str
    model: str
    version: str
    memory_mb: int
    fence: int
    adapters: list[str] = []


class Inventory(Message, frozen=True):
    """Report all that an engine has loaded. Agent to control.

    Sent after every start, and after every change.

    Attributes
    ----------
    loaded : list of LoadedModel
    highest_fence : int
        Highest fence the agent has obeyed in this incarnation.
    cached_on_disk : list of str
        ``model/version`` names whose checkpoints lie on the host's disk.
    cached_in_memory : list of str
        The same for host memory.
    orders_in_flight : list of int
        Fences of orders that have not ended.
    """

    loaded: list[LoadedModel]
    highest_fence: int
    cached_on_disk: list[str] = []
    cached_in_memory: list[str] = []
    orders_in_flight: list[int] = []
