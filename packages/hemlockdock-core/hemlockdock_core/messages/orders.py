"""Order an agent to change what its engine has loaded."""

from enum import StrEnum

from hemlockdock_core.messages.message import Message


class OrderOutcome(StrEnum):
    """Say how an order ended."""

    DONE = "done"
    REFUSED_OLD_FENCE = "refused_old_fence"
    REFUSED_NO_MEMORY = "refused_no_memory"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class LoadOrder(Message, frozen=True):
    """Order a model load. Control to agent.

    Attributes
    ----------
    replica_id : str
    fence : int
        Grows with every decision in the cluster.
    model : str
    version : str
    memory_mb : int
    requests_per_replica : int
    timeout_ms : int
    incarnation : int
        Of the agent it is meant for; another one refuses it. 0 where any may obey.
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
    """Order an unload; requests in progress finish first. Control to agent.

    Attributes
    ----------
    replica_id : str
    fence : int
    incarnation : int
        Of the agent it is meant for; another one refuses it. 0 where any may obey.
    """

    replica_id: str
    fence: int
    incarnation: int = 0


class LoadAdapterOrder(Message, frozen=True):
    """Order an adapter onto a loaded replica. Control to agent.

    Attributes
    ----------
    replica_id : str
    fence : int
    adapter : str
    memory_mb : int
    timeout_ms : int
    incarnation : int
        Of the agent it is meant for; another one refuses it. 0 where any may obey.
    """

    replica_id: str
    fence: int
    adapter: str
    memory_mb: int
    timeout_ms: int
    incarnation: int = 0


class UnloadAdapterOrder(Message, frozen=True):
    """Order an adapter off a replica. Control to agent.

    Attributes
    ----------
    replica_id : str
    fence : int
    adapter : str
    incarnation : int
        Of the agent it is meant for; another one refuses it. 0 where any may obey.
    """

    replica_id: str
    fence: int
    adapter: str
    incarnation: int = 0


class OrderResult(Message, frozen=True):
    """Report how an order ended. Agent to control; repeated until acknowledged by the table.

    Attributes
    ----------
    replica_id : str
    fence : int
        Fence of the order.
    outcome : OrderOutcome
    detail : str
    took_ms : int
    """

    replica_id: str
    fence: int
    outcome: OrderOutcome
    detail: str = ""
    took_ms: int = 0
