"""Define the storage tiers that checkpoints are loaded from."""

from enum import IntEnum


class Tier(IntEnum):
    """Identify the storage tier that a checkpoint is loaded from; lower values are faster."""

    MEMORY = 0
    DISK = 1
    REMOTE = 2
