"""Replicated log of the control members: elections, log replication and membership changes."""

from hemlockdock_control.consensus.errors import (
    BacklogFullError,
    ChangeRefusedError,
    CommandTooLargeError,
    NotLeaderError,
    UnknownOutcomeError,
)
from hemlockdock_control.consensus.replicator import Replicator

__all__ = [
    "BacklogFullError",
    "ChangeRefusedError",
    "CommandTooLargeError",
    "NotLeaderError",
    "Replicator",
    "UnknownOutcomeError",
]
