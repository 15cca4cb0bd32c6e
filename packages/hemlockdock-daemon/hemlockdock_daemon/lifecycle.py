"""The inputs of a process's state machine."""

from typing import Protocol


class LifecycleCore:
    """The data of the state machine: none beside its state."""


class Lifecycle(Protocol):
    """The inputs of a process's state machine."""

    def start(self) -> bool:
        """Begin the start; return whether the caller has to start the services."""

    def started(self) -> None:
        """Record that all services have started."""

    def stop(self) -> bool:
        """Begin the stop; return whether the caller has to stop the services."""

    def stopped(self) -> None:
        """Record that all services have stopped."""
