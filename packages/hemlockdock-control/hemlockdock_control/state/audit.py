"""Keep the audit trail of changes."""

from collections import deque
from dataclasses import dataclass

RECORD_KINDS = frozenset({"run_once", "job"})


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """Describe one change of the replicated state.

    Attributes
    ----------
    revision : int
        Log index of the change.
    at_ms : int
        Committed wall-clock time, in milliseconds since 1970.
    who : str
    kind : str
    subject : str
    before, after : str
    """

    revision: int
    at_ms: int
    who: str
    kind: str
    subject: str
    before: str
    after: str


class AuditTrail:
    """Keep the newest audit records.

    Changes of callers' records are kept apart from all others, so that busy callers do not push
    out what operators did.

    Parameters
    ----------
    limit : int
        Records kept of each of the two sorts.
    """

    def __init__(self, limit):
        self._changes = deque(maxlen=limit)
        self._records = deque(maxlen=limit)

    def add(self, record):
        """Append a record.

        Parameters
        ----------
        record : AuditRecord
        """
        trail = self._records if record.kind in RECORD_KINDS else self._changes
        trail.append(record)

    def all(self):
        """Return every record kept, in order of revision."""
        return sorted([*self._changes, *self._records], key=lambda record: record.revision)

    def select(self, since_ms=0, kind="", subject="", limit=1_000):
        """Return the newest records that fit, in order of revision.

        Parameters
        ----------
        since_ms : int, optional
        kind, subject : str, optional
            Empty means any.
        limit : int, optional

        Returns
        -------
        list of AuditRecord
        """
        found = []
        for record in self.all():
            if record.at_ms < since_ms:
                continue
            if kind and record.kind != kind:
                continue
            if subject and record.subject != subject:
                continue
            found.append(record)
        return found[-limit:]

    def restore(self, records):
        """Replace all records.

        Parameters
        ----------
        records : iterable of AuditRecord
        """
        self._changes.clear()
        self._records.clear()
        for record in records:
            self.add(record)
