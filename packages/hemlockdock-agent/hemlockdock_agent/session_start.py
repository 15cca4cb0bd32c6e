"""Say under which number and where a session of the agent runs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionStart:
    """Say under which number and where a session of the agent runs.

    Attributes
    ----------
    incarnation : int
    listen : str
        Address for frames.
    http_address : str
        ``ip:port`` of health and metrics.
    alone : bool
        Whether no order of an earlier session can still be on its way to the engine.
    """

    incarnation: int
    listen: str
    http_address: str
    no_earlier_orders: bool
