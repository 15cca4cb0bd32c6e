"""Select the replica for a request and decide whether a failed attempt is retried."""

from hemlockdock_entry.routing.crash_tracker import CrashTracker, SeenCrashes, TrustLevel
from hemlockdock_entry.routing.endpoint_record import EndpointRecord
from hemlockdock_entry.routing.notices import handle_notice
from hemlockdock_entry.routing.outcome import AttemptOutcome
from hemlockdock_entry.routing.retry import (
    DRAINING_KINDS,
    FAILURE_KINDS,
    OVERLOAD_KINDS,
    RetryDecision,
    decide_retry,
)
from hemlockdock_entry.routing.retry_budget import RetryBudget
from hemlockdock_entry.routing.router import Router

__all__ = [
    "DRAINING_KINDS",
    "FAILURE_KINDS",
    "OVERLOAD_KINDS",
    "AttemptOutcome",
    "CrashTracker",
    "EndpointRecord",
    "RetryBudget",
    "RetryDecision",
    "Router",
    "SeenCrashes",
    "TrustLevel",
    "decide_retry",
    "handle_notice",
]
