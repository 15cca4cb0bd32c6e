"""Context shared by the components of the state while a command is applied."""

from hemlockdock_control.state.audit import AuditRecord, AuditTrail
from hemlockdock_control.state.change_log import ChangeLog


class StateContext:
    """Log index, committed clock, routing table rows and audit trail.

    Parameters
    ----------
    audit_entries : int

    Attributes
    ----------
    index : int
        Log index of the command being applied.
    now_ms : int
        Committed wall-clock time, in milliseconds since 1970; never decreases.
    epoch : int
        Time of the first command. It distinguishes the tables of different clusters.
    changes : ChangeLog
    audit : AuditTrail
    """

    def __init__(self, audit_entries):
        self.index = 0
        self.now_ms = 0
        self.epoch = 0
        self.changes = ChangeLog()
        self.audit = AuditTrail(audit_entries)

    def advance(self, index, at_ms):
        """Set the index and the time of the next command.

        Parameters
        ----------
        index : int
        at_ms : int
        """
        self.index = index
        self.now_ms = max(self.now_ms, at_ms)
        if not self.epoch and self.now_ms:
            self.epoch = self.now_ms

    def put(self, row):
        """Put a row at the current index.

        Parameters
        ----------
        row : Row
        """
        self.changes.put(self.index, row)

    def put_all(self, rows):
        """Put rows at the current index.

        Parameters
        ----------
        rows : iterable of Row

        Returns
        -------
        set of str
            Keys of the rows.
        """
        return self.changes.put_all(self.index, rows)

    def delete(self, key):
        """Delete a row at the current index.

        Parameters
        ----------
        key : str
        """
        self.changes.delete(self.index, key)

    def record(self, who, kind, subject, before, after):
        """Append a record to the audit trail.

        Parameters
        ----------
        who, kind, subject : str
        before, after : object
        """
        self.audit.add(
            AuditRecord(self.index, self.now_ms, who, kind, subject, str(before), str(after))
        )
