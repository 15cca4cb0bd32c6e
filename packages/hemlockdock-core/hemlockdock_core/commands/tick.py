"""Command that expires records."""

from hemlockdock_core.commands.base import BaseCommand


class ExpireRecords(BaseCommand, frozen=True):
    """Remove all records whose retention has expired.

    The time is part of the command, so that every member expires the same records.

    Attributes
    ----------
    at_ms : int
        Wall-clock time; the clock of the state never goes backwards.
    """

    at_ms: int
