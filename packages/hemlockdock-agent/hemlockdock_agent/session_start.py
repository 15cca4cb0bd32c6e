"""Define the parameters of an agent session."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionStart:
    """Hold the parameters of an agent session.

    Attributes
    ----------
    incarnation : int
    listen : str
        Address to listen on for frames.
    http_address : str
        ``ip:port`` of the health and metrics pages.
    no_earlier_orders : bool
        Whether no order of an earlier session can still be in transit to the engine.
    """

    incarnation: int
    listen: str
    http_address: str
    no_earlier_orders: bool
