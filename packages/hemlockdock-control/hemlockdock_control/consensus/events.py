"""Define what can happen to a member."""

from dataclasses import dataclass

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Note that time has passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """Note a message from another member.

    Attributes
    ----------
    sender : str
    message : PeerMessage
    """

    sender: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Proposed:
    """Note commands to be replicated; void unless this member takes proposals.

    Attributes
    ----------
    commands : tuple of bytes
    """

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationProposed:
    """Note a change of members that was checked.

    Attributes
    ----------
    configuration : Configuration
    """

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Synced:
    """Note that writes are durable.

    Attributes
    ----------
    write_count : int
        All writes up to this one, counted from the start of the process.
    """

    write_count: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Note the machine's state at an applied index.

    Attributes
    ----------
    index : int
    data : bytes
    """

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TransferRequested:
    """Note that this member wants to hand its leadership over."""


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """Note that the disk can no longer be trusted."""
