"""Say what the order gate wants done."""

from dataclasses import dataclass

from hemlockdock_core.messages import OrderResult


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine.

    Attributes
    ----------
    key : tuple
        Of the order's record.
    kind : str
        Last part of the path at the engine.
    body : dict
    timeout_ms : int
    """

    key: tuple
    kind: str
    body: dict
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class RequestInventory:
    """Ask the engine what it holds.

    Attributes
    ----------
    number : int
        Grows with every question.
    changes : int
        Count of the holdings' changes at the time of asking.
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
