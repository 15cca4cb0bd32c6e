"""Record changes of control members."""

from hemlockdock_core.commands.base import BaseCommand


class RecordMembers(BaseCommand, frozen=True):
    """Record a change of members, which the log itself made, in the audit trail.

    Attributes
    ----------
    who : str
        Operator's name.
    member_id : str
    before, after : str
        The members' ids, separated by commas.
    at_ms : int
    """

    who: str
    member_id: str
    before: str
    after: str
    at_ms: int
