"""Describe what an engine says of itself and what it is ordered."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class AdapterName:
    """Name one adapter.

    Attributes
    ----------
    model, adapter : str
    """

    model: str
    adapter: str


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """Describe one model that an engine has loaded.

    Attributes
    ----------
    name : str
    version : int
    adapters : frozenset of str
    """

    name: str
    version: int
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Describe what an engine says of itself.

    Attributes
    ----------
    started_ms : int
        Wall clock at the engine's start, in milliseconds since 1970; 0 where it isn't said.
    sequence : int
        Orders accepted since then.
    busy : bool
        Whether an order is being carried out.
    leaving : bool
    leaves_in_ms : int or None
        Time left before a forced end, where one is known.
    models : tuple of LoadedModel
    arriving : frozenset of AdapterName
        Adapters that are being loaded.
    in_host_memory : frozenset of str
        Models whose weights lie in the host's memory.
    on_host_disk : frozenset of str
        Models whose weights lie on the host's disk.
    waiting : int
        Requests that wait for a slot.
    running : int
    cache_used_tokens : int
        Memory for tokens that cannot be freed.
    cache_tokens : int
    """

    started_ms: int
    sequence: int
    busy: bool
    leaving: bool
    leaves_in_ms: int | None
    models: tuple[LoadedModel, ...]
    arriving: frozenset[AdapterName]
    in_host_memory: frozenset[str]
    on_host_disk: frozenset[str]
    waiting: int
    running: int
    cache_used_tokens: int
    cache_tokens: int

    @property
    def on_host(self):
        """Return the models whose weights lie on the host."""
        return self.in_host_memory | self.on_host_disk

    def model(self, name):
        """Return a loaded model, None where it isn't.

        Parameters
        ----------
        name : str

        Returns
        -------
        LoadedModel or None
        """
        for model in self.models:
            if model.name == name:
                return model
        return None


class OrderAction(Enum):
    """Name what an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order an engine to load or unload.

    Attributes
    ----------
    action : OrderAction
    model : str
    adapter : str
        Empty where the order is about the model itself.
    expected_sequence : int or None
        Orders that the engine must have accepted before this one.
    holder : str
        Who gives the order.
    fence : int
        Fencing token of the holder.
    """

    action: OrderAction
    model: str
    adapter: str
    expected_sequence: int | None
    holder: str
    fence: int


class OrderAnswer(Enum):
    """Say what an engine answered to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    IMPOSSIBLE = "impossible"
    OTHER_ENGINE = "other_engine"
    UNKNOWN = "unknown"
