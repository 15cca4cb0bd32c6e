"""Snapshots of the state machine."""

import msgspec

from hemlockdock_control.consensus.configuration import Configuration


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of the state machine at one index.

    Attributes
    ----------
    index : int
        Index of the last entry that the state includes.
    term : int
        Term of that entry.
    configuration : Configuration
        Configuration as of that entry.
    data : bytes
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    data: bytes = b""
