"""Exit codes of the ``hemlockdock`` command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of the command."""

    OK = 0
    FAILED = 1
    WARNINGS = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNREACHABLE = 4
