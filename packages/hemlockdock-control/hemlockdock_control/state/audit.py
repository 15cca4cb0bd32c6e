"""Audit trail of changes to the replicated state."""

from collections import deque
from dataclasses import dataclass

CALLER_RECORD_KINDS = frozenset({"run_once", "job"})


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One change of the replicated state.

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
    """Bounded list of the newest audit records.

    Records of callers' requests and jobs are stored separately from all others, so that a high
    request rate does not evict the records of operators' changes.

    Parameters
    ----------
    limit : int
        Maximum number of records in each of the two groups.
    """

    def __init__(self, limit):
        self._other_records = deque(maxlen=limit)
        self._caller_records = deque(maxlen=limit)

    def add(self, record):
        """Append a record.

        Parameters
        ----------
        record : AuditRecord
        """
        queue = self._caller_records if record.kind in CALLER_RECORD_KINDS else self._other_records
        queue.append(record)

    def all(self):
        """Return all records, in order of revision."""
        return sorted(
            [*self._other_records, *self._caller_records], key=lambda record: record.revision
        )

    def select(self, since_ms=0, kind="", subject="", limit=1_000):
        """Return the newest records that match, in order of revision.

        Parameters
        ----------
        since_ms : int, optional
        kind, subject : str, optional
            An empty string matches any value.
        limit : int, optional

        Returns
        -------
        list of AuditRecord
        """
        selected = []
        for record in self.all():
            if record.at_ms < since_ms:
                continue
            if kind and record.kind != kind:
                continue
            if subject and record.subject != subject:
                continue
            selected.append(record)
        return selected[-limit:]

    def restore(self, records):
        """Replace all records.

        Parameters
        ----------
        records : iterable of AuditRecord
        """
        self._other_records.clear()
        self._caller_records.clear()
        for record in records:
            self.add(record)
