"""Name what one try says about the endpoint that ran it."""

from enum import Enum


class Outcome(Enum):
    """Name what one try says about its endpoint."""

    ANSWERED = "answered"
    FAILED = "failed"
    FULL = "full"
    NEUTRAL = "neutral"
