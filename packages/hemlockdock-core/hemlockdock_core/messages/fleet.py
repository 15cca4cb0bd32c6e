"""Define what nodes of a fleet say to each other beside heartbeats and the table."""

import msgspec

from hemlockdock_core.messages.message import Message
from hemlockdock_core.rows import EngineSpec
from hemlockdock_core.wire.engine import EngineReport


class EndpointReport(Message, frozen=True):
    """Tell what an engine holds. Agent to leader.

    Attributes
    ----------
    pool : str
    engine_address : str
        ``ip:port``.
    report : EngineReport
    change_number : int
        Number of the last change of models that was taken on; 0 for none.
    changing : bool
        Whether that change is still under way.
    facts_number : int
        Number of the engine's facts that the agent knows; 0 for none.
    answers : bool
        Whether the engine answers now; where not, the report is its last one.
    endpoint_id : str
        Which endpoint the engine says that it is; empty while it wasn't asked.
    """

    pool: str
    engine_address: str
    report: EngineReport
    change_number: int
    changing: bool
    facts_number: int
    answers: bool = True
    endpoint_id: str = ""


class EngineFacts(Message, frozen=True):
    """Tell what the engines of a pool can hold. Leader to agent.

    Attributes
    ----------
    term : int
        Term of the leader: the fencing token of orders that the agent gives by itself.
    number : int
        Changes with what is told.
    engine : EngineSpec
    probe_path : str
        Path at which an engine says which endpoint it is.
    """

    term: int
    number: int
    engine: EngineSpec
    probe_path: str


class ChangeModels(Message, frozen=True):
    """Ask an agent to exchange models of its engine. Leader to agent.

    Attributes
    ----------
    term : int
        Term of the leader; an agent takes no change of an older one.
    number : int
        Grows with each change that a leader asks for.
    endpoint_id : str
        The only endpoint that the change is meant for.
    unload : tuple of str
        Models that make room first.
    load : str
        Empty where only room is made.
    """

    term: int
    number: int
    endpoint_id: str
    unload: tuple[str, ...]
    load: str


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Tell how one model is asked for at one entry.

    Attributes
    ----------
    pool, model : str
    arrivals : int
        Requests received since the entry's process started.
    waiting : int
    in_flight : int
    in_time : int
        Waiting requests that can still be answered within their route's target.
    target_left_ms : int
        Time until the first of those targets passes; 0 where there is none.
    urgency : int
        Of the most urgent waiting request; 0 is the most urgent.
    returning : int
        Requests that were refused, and whose clients will come back.
    """

    pool: str
    model: str
    arrivals: int
    waiting: int
    in_flight: int
    in_time: int
    target_left_ms: int
    urgency: int
    returning: int = 0


class DemandReport(Message, frozen=True):
    """Tell which models are asked for. Entry to leader.

    Attributes
    ----------
    demands : tuple of ModelDemand
        Those that changed since the last report.
    """

    demands: tuple[ModelDemand, ...]


class AdapterWish(Message, frozen=True):
    """Ask an agent to hold an adapter. Entry to agent.

    Attributes
    ----------
    endpoint_id, model, adapter : str
    """

    endpoint_id: str
    model: str
    adapter: str


class AdapterHeld(Message, frozen=True):
    """Tell whether an adapter is loaded. Agent to entry.

    Attributes
    ----------
    endpoint_id, model, adapter : str
    held_ms : int
        For how long it will not be unloaded; 0 where it isn't loaded.
    """

    endpoint_id: str
    model: str
    adapter: str
    held_ms: int
