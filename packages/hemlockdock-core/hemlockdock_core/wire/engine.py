"""Status reports of engines, and orders to engines."""

from dataclasses import dataclass, replace
from enum import Enum


@dataclass(frozen=True, slots=True)
class AdapterName:
    """The name of an adapter and of its base model.

    Attributes
    ----------
    model, adapter : str
    """

    model: str
    adapter: str


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that is loaded in an engine.

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
class EngineRun:
    """A request that an engine runs.

    Attributes
    ----------
    run_id : str
    cache_tokens : int
        Number of its tokens in the cache.
    events : int
        Number of events made so far.
    urgency : int
        0 is the highest.
    """

    run_id: str
    cache_tokens: int
    events: int
    urgency: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The status that an engine reports.

    Attributes
    ----------
    started_ms : int
        Wall-clock time of the engine's start, in milliseconds since the Unix epoch; 0 if not
        reported.
    sequence : int
        Number of orders accepted since the start.
    busy : bool
        Whether an order is in progress.
    leaving : bool
    leaves_in_ms : int or None
        Time until the engine is forcibly stopped, or None if not known.
    models : tuple of LoadedModel
    arriving : frozenset of AdapterName
        Adapters that are being loaded.
    in_host_memory : frozenset of str
        Models whose weights are cached in the host's memory.
    on_host_disk : frozenset of str
        Models whose weights are cached on the host's disk.
    waiting : int
        Number of requests that wait for a slot.
    running : int
    cache_used_tokens : int
        Number of tokens in the cache that can't be evicted.
    cache_tokens : int
    runs : tuple of EngineRun
        The running requests; empty if not reported.
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
    runs: tuple[EngineRun, ...] = ()

    @property
    def on_host(self):
        """Return the models whose weights are cached in the host's memory or on its disk."""
        return self.in_host_memory | self.on_host_disk

    def without_runs(self):
        """Return the report without the single requests, which would double its size on links."""
        return replace(self, runs=())

    def model(self, name):
        """Return a loaded model, or None if it isn't loaded.

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
    """The action that an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load or unload a model or an adapter.

    Attributes
    ----------
    action : OrderAction
    model : str
    adapter : str
        Adapter to load or unload; empty to load or unload the model itself.
    expected_sequence : int or None
        Number of orders that the engine must have accepted before this one.
    holder : str
        Id of the issuer of the order.
    fence : int
        Fencing token of the issuer.
    """

    action: OrderAction
    model: str
    adapter: str
    expected_sequence: int | None
    holder: str
    fence: int


class EngineOrderResponse(Enum):
    """The response of an engine to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    IMPOSSIBLE = "impossible"
    OTHER_ENGINE = "other_engine"
    UNKNOWN = "unknown"
