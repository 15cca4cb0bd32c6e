"""Define how one attempt counts for the endpoint that ran it."""

from enum import Enum


class AttemptOutcome(Enum):
    """How one attempt counts for its endpoint."""

    ANSWERED = "answered"
    FAILED = "failed"
    FULL = "full"
    NEUTRAL = "neutral"
