"""Hold one order and what became of it."""

from dataclasses import dataclass
from enum import Enum

from hemlockdock_core.messages import OrderResult


class OrderPhase(Enum):
    """Name where an order is in its life."""

    WAITING = "waiting"
    SENT = "sent"
    UNANSWERED = "unanswered"
    ENDED = "ended"


@dataclass(slots=True)
class OrderRecord:
    """Hold one order and what became of it.

    Attributes
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    key : tuple
    by_agent : bool
        Whether the agent decided it itself, so that nobody waits for a result.
    phase : OrderPhase
    accepted_ms, sent_ms : float
    sent_fence : int
        Fence that the engine was given.
    result : OrderResult or None
    acknowledged : bool
        Whether the table shows the result, or it was repeated often enough.
    repeats : int
    repeat_ms : float
        When the result goes out again.
    """

    order: object
    key: tuple
    by_agent: bool
    accepted_ms: float
    phase: OrderPhase = OrderPhase.WAITING
    sent_ms: float = 0.0
    sent_fence: int = 0
    result: OrderResult | None = None
    acknowledged: bool = False
    repeats: int = 0
    repeat_ms: float = 0.0

    @property
    def in_flight(self):
        """Tell whether the engine may be carrying it out."""
        return self.phase in (OrderPhase.SENT, OrderPhase.UNANSWERED)
