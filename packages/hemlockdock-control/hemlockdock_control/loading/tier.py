"""Name where a checkpoint is read from."""

from enum import IntEnum


class Tier(IntEnum):
    """Name where a checkpoint is read from; a lower one is faster."""

    MEMORY = 0
    DISK = 1
    REMOTE = 2
