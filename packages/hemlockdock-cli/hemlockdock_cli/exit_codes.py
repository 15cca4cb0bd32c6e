"""Name the exit codes of the command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Name how the command ended."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNREACHABLE = 4
