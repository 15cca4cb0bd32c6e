"""Define the inputs of a process's state machine."""

from typing import Protocol


class LifecycleCore:
    """Hold nothing; the machine's state is all there is."""


class Lifecycle(Protocol):
    """Name the inputs of a process's state machine."""

    def start(self) -> bool:
        """Begin to start; tell whether the caller is to do it."""

    def started(self) -> None:
        """Note that every service runs."""

    def stop(self) -> bool:
        """Begin to stop; tell whether the caller is to do it."""

    def stopped(self) -> None:
        """Note that every service has stopped."""
