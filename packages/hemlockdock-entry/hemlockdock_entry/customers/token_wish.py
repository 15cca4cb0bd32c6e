"""What a request has of its customer's tokens."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenWish:
    """The tokens of one request.

    Attributes
    ----------
    tokens : float
    is_charged : bool
        Whether it has them, so that it may be dispatched.
    is_granted : bool
        Whether they came from the leader.
    is_delayed : bool
        Whether it is dispatched at the time that was booked for it, which is still to come.
    """

    tokens: float = 0.0
    is_charged: bool = False
    is_granted: bool = False
    is_delayed: bool = False
