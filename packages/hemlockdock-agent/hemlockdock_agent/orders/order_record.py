"""Define the record of one order."""

from dataclasses import dataclass
from enum import Enum

from hemlockdock_core.messages import OrderResult


class OrderPhase(Enum):
    """Enumerate the phases of an order."""

    WAITING = "waiting"
    SENT = "sent"
    UNANSWERED = "unanswered"
    ENDED = "ended"


@dataclass(slots=True)
class OrderRecord:
    """Hold one order, its phase and its result.

    Attributes
    ----------
    order : LoadOrder, UnloadOrder, LoadAdapterOrder or UnloadAdapterOrder
    key : tuple
    by_agent : bool
        Whether the agent itself issued the order, so that no result is reported.
    phase : OrderPhase
    accepted_ms, sent_ms : float
    sent_fence : int
        Fence that was sent to the engine.
    result : OrderResult or None
    acknowledged : bool
        Whether the routing table reflects the result, or it was repeated the maximum number
        of times.
    repeats : int
    repeat_ms : float
        When the result is reported again.
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
        """Return whether the engine may be executing the order."""
        return self.phase in (OrderPhase.SENT, OrderPhase.UNANSWERED)
