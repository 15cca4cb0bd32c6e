"""Messages between the nodes of a fleet, apart from heartbeats and the routing table."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message
from hemlockdock_core.rows import EngineSpec
from hemlockdock_core.wire.engine import EngineReport


class EndpointReport(Message, frozen=True):
    """State of an engine. Sent by an agent to the leader.

    Attributes
    ----------
    pool : str
    engine_address : str
        ``ip:port``.
    report : EngineReport
    change_number : int
        Number of the last model change that was accepted; 0 for none.
    changing : bool
        Whether that change is still in progress.
    facts_number : int
        Number of the last ``EngineFacts`` that the agent received; 0 for none.
    answers : bool
        Whether the engine responds now; if not, ``report`` is the last one received.
    endpoint_id : str
        Endpoint id that the engine reports; empty until it has been probed.
    changing_to : str
        Model that the change in progress loads; empty if there is none.
    speed : float or None
        Events that a running request makes per second, as the agent has measured it; None if not
        known.
    """

    expects_answer: ClassVar[bool] = False

    pool: str
    engine_address: str
    report: EngineReport
    change_number: int
    changing: bool
    facts_number: int
    answers: bool = True
    endpoint_id: str = ""
    changing_to: str = ""
    speed: float | None = None


class EngineFacts(Message, frozen=True):
    """Capacity of the engines of a pool. Sent by the leader to an agent.

    Attributes
    ----------
    term : int
        Term of the leader: the fencing token of orders that the agent issues on its own.
    number : int
        Version of the facts; changes whenever they change.
    engine : EngineSpec
    probe_path : str
        Path at which an engine returns its endpoint id.
    """

    term: int
    number: int
    engine: EngineSpec
    probe_path: str


class ChangeModels(Message, frozen=True):
    """Request to replace models of an engine. Sent by the leader to an agent.

    Attributes
    ----------
    term : int
        Term of the leader; an agent rejects changes from an older term.
    number : int
        Increases with each change that a leader requests.
    endpoint_id : str
        The only endpoint to which the change may be applied.
    unload : tuple of str
        Models to unload first, to free memory.
    load : str
        Model to load; empty if models are only unloaded.
    """

    term: int
    number: int
    endpoint_id: str
    unload: tuple[str, ...]
    load: str


# Time constant of the count by which loads are chosen that take seconds.
LATELY_DECAY_S = 15.0


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one model at one entry.

    Attributes
    ----------
    pool, model : str
    arrivals : int
        Requests received since the entry's process started.
    waiting : int
    in_flight : int
    in_time : int
        Waiting requests that can still meet their route's target latency.
    target_left_ms : int
        Time until the earliest of those targets expires; 0 if there is none.
    urgency : int
        Urgency of the most urgent waiting request; 0 is the highest urgency.
    returning : int
        Refused requests whose clients are expected to retry.
    lately : float or None
        Requests received lately, decaying over ``LATELY_DECAY_S``; None if not counted.
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
    lately: float | None = None


class DemandReport(Message, frozen=True):
    """Demand for models. Sent by an entry to the leader.

    Attributes
    ----------
    demands : tuple of ModelDemand
        Demands that changed since the last report.
    """

    expects_answer: ClassVar[bool] = False

    demands: tuple[ModelDemand, ...]


class AdapterWish(Message, frozen=True):
    """Request to load an adapter and keep it loaded. Sent by an entry to an agent.

    Attributes
    ----------
    endpoint_id, model, adapter : str
    """

    endpoint_id: str
    model: str
    adapter: str


class AdapterHeld(Message, frozen=True):
    """Whether an adapter is loaded. Sent by an agent to an entry.

    Attributes
    ----------
    endpoint_id, model, adapter : str
    held_ms : int
        Time for which it stays loaded, in milliseconds; 0 if it isn't loaded.
    """

    expects_answer: ClassVar[bool] = False

    endpoint_id: str
    model: str
    adapter: str
    held_ms: int
