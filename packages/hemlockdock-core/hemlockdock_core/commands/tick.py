"""Let records end by committed time."""

from hemlockdock_core.commands.base import BaseCommand


class ExpireRecords(BaseCommand, frozen=True):
    """End all records whose retention is over.

    Attributes
    ----------
    at_ms : int
        Wall clock; the state's clock never goes back.
    """

    at_ms: int
