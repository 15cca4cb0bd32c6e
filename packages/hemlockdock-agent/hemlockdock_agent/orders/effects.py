"""Define the effects that the order gate requests."""

from dataclasses import dataclass

from hemlockdock_core.messages import OrderResult


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine.

    Attributes
    ----------
    key : tuple
        Key of the order's record.
    kind : str
        Last segment of the engine's path.
    body : dict
    timeout_ms : int
    """

    key: tuple
    kind: str
    body: dict
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class AskInventory:
    """Request the inventory of the engine.

    Attributes
    ----------
    number : int
        Increases with every request.
    change_count : int
        Change count of the holdings at the time of the request.
    """

    number: int
    change_count: int


@dataclass(frozen=True, slots=True)
class ReportResult:
    """Send an order's result to control.

    Attributes
    ----------
    result : OrderResult
    """

    result: OrderResult


@dataclass(frozen=True, slots=True)
class ReportInventory:
    """Send the inventory to control."""
