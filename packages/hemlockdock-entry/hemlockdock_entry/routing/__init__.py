"""Choose where a request runs, and whether it runs again."""

from hemlockdock_entry.routing.endpoint_record import EndpointRecord
from hemlockdock_entry.routing.outcome import Outcome
from hemlockdock_entry.routing.retry import (
    FAULT_KINDS,
    FULL_KINDS,
    LEAVING_KINDS,
    NextStep,
    next_step,
)
from hemlockdock_entry.routing.retry_budget import RetryBudget
from hemlockdock_entry.routing.router import Router
from hemlockdock_entry.routing.suspects import Standing, Suspects

__all__ = [
    "FAULT_KINDS",
    "FULL_KINDS",
    "LEAVING_KINDS",
    "EndpointRecord",
    "NextStep",
    "Outcome",
    "RetryBudget",
    "Router",
    "Standing",
    "Suspects",
    "next_step",
]
