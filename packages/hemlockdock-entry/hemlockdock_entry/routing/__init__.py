"""Select the replica for a request and decide whether a failed attempt is retried."""

from hemlockdock_entry.routing.crash_tracker import CrashTracker, Standing
from hemlockdock_entry.routing.endpoint_record import EndpointRecord
from hemlockdock_entry.routing.outcome import Outcome
from hemlockdock_entry.routing.retry import (
    DRAINING_KINDS,
    FAILURE_KINDS,
    OVERLOAD_KINDS,
    NextStep,
    next_step,
)
from hemlockdock_entry.routing.retry_budget import RetryBudget
from hemlockdock_entry.routing.router import Router

__all__ = [
    "DRAINING_KINDS",
    "FAILURE_KINDS",
    "OVERLOAD_KINDS",
    "CrashTracker",
    "EndpointRecord",
    "NextStep",
    "Outcome",
    "RetryBudget",
    "Router",
    "Standing",
    "next_step",
]
