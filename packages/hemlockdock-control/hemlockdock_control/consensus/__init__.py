"""Replicate commands among the control members."""

from hemlockdock_control.consensus.errors import (
    ChangeRefusedError,
    NotLeaderError,
    UnknownOutcomeError,
)
from hemlockdock_control.consensus.replicator import Replicator

__all__ = ["ChangeRefusedError", "NotLeaderError", "Replicator", "UnknownOutcomeError"]
