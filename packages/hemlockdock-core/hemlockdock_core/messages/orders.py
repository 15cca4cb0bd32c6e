"""Orders that change the models and adapters loaded in an agent's engine."""

from enum import StrEnum
from typing import ClassVar

from hemlockdock_core.messages.message import Message


class OrderOutcome(StrEnum):
    """The outcome of an order."""

    DONE = "done"
    REFUSED_OLD_FENCE = "refused_old_fence"
    REFUSED_NO_MEMORY = "refused_no_memory"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class LoadOrder(Message, frozen=True):
    """Order to load a model. Sent by control to an agent.

    Attributes
    ----------
    replica_id : str
    fence : int
        Fencing token; increases with every decision in the cluster.
    model : str
    version : str
    memory_mb : int
    requests_per_replica : int
    timeout_ms : int
    incarnation : int
        Incarnation of the agent that may carry it out; others refuse it. 0 for any.
    """

    replica_id: str
    fence: int
    model: str
    version: str
    memory_mb: int
    requests_per_replica: int
    timeout_ms: int
    incarnation: int = 0


class UnloadOrder(Message, frozen=True):
    """Order to unload a model after its requests in progress. Sent by control to an agent.

    Attributes
    ----------
    replica_id : str
    fence : int
    incarnation : int
        Incarnation of the agent that may carry it out; others refuse it. 0 for any.
    """

    replica_id: str
    fence: int
    incarnation: int = 0


class LoadAdapterOrder(Message, frozen=True):
    """Order to load an adapter on a loaded replica. Sent by control to an agent.

    Attributes
    ----------
    replica_id : str
    fence : int
    adapter : str
    memory_mb : int
    timeout_ms : int
    incarnation : int
        Incarnation of the agent that may carry it out; others refuse it. 0 for any.
    """

    replica_id: str
    fence: int
    adapter: str
    memory_mb: int
    timeout_ms: int
    incarnation: int = 0


class UnloadAdapterOrder(Message, frozen=True):
    """Order to unload an adapter from a replica. Sent by control to an agent.

    Attributes
    ----------
    replica_id : str
    fence : int
    adapter : str
    incarnation : int
        Incarnation of the agent that may carry it out; others refuse it. 0 for any.
    """

    replica_id: str
    fence: int
    adapter: str
    incarnation: int = 0


class OrderResult(Message, frozen=True):
    """Outcome of an order. Sent by an agent to control.

    Resent until the routing table shows that control has applied it.

    Attributes
    ----------
    replica_id : str
    fence : int
        Fencing token of the order.
    outcome : OrderOutcome
    detail : str
    took_ms : int
    """

    expects_answer: ClassVar[bool] = False

    replica_id: str
    fence: int
    outcome: OrderOutcome
    detail: str = ""
    took_ms: int = 0
