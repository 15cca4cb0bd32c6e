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
    """

    tokens: float = 0.0
    is_charged: bool = False
    is_granted: bool = False
