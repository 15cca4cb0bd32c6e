"""Command that records a change of the control members."""

from hemlockdock_core.commands.base import BaseCommand


class RecordMembers(BaseCommand, frozen=True):
    """Record a change of the control members in the audit trail.

    The change itself is made by a configuration entry of the log.

    Attributes
    ----------
    who : str
        Operator's name.
    member_id : str
    before, after : str
        Comma-separated ids of the members before and after the change.
    at_ms : int
    """

    who: str
    member_id: str
    before: str
    after: str
    at_ms: int
