"""Hold the machine's state at one index."""

import msgspec

from hemlockdock_control.consensus.configuration import Configuration


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Hold the machine's state at one index.

    Attributes
    ----------
    index : int
        Last entry that the state includes.
    term : int
        Term of that entry.
    configuration : Configuration
        Members as of that entry.
    data : bytes
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    data: bytes = b""
