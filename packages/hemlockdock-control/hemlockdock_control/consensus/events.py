"""Events: the inputs of the consensus core."""

from dataclasses import dataclass

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer has fired."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message from another member was received.

    Attributes
    ----------
    sender : str
    message : PeerMessage
    """

    sender: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Proposed:
    """Commands were proposed; ignored unless this member accepts proposals.

    Attributes
    ----------
    commands : tuple of bytes
    """

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationProposed:
    """A membership change was proposed that has been validated.

    Attributes
    ----------
    configuration : Configuration
    """

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Synced:
    """Writes have become durable.

    Attributes
    ----------
    write_count : int
        Number of durable writes since the start of the process.
    """

    write_count: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the state machine was taken at an applied index.

    Attributes
    ----------
    index : int
    data : bytes
    """

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TransferRequested:
    """A transfer of this member's leadership was requested.

    Attributes
    ----------
    avoided_ids : frozenset of str
        Members that must not take over, as they leave as well.
    """

    avoided_ids: frozenset = frozenset()


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """A write or sync failed, so that the content of the disk is no longer known."""
