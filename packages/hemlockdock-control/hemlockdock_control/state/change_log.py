"""Remember which rows changed at which revision."""

from collections import deque

CHANGE_LOG_ENTRIES = 20_000


class ChangeLog:
    """Hold the current rows and the keys that recent revisions changed.

    Attributes
    ----------
    row_by_key : dict of str to Row
    revision : int
        Log index of the latest entry that changed a row.
    floor : int
        Oldest revision from which a delta can be computed.
    """

    def __init__(self, limit=CHANGE_LOG_ENTRIES):
        self.row_by_key = {}
        self.revision = 0
        self.floor = 0
        self._limit = limit
        self._changes = deque()

    def put(self, revision, row):
        """Insert or replace a row; one that is equal already changes nothing.

        Parameters
        ----------
        revision : int
        row : Row
        """
        key = row.key
        if self.row_by_key.get(key) == row:
            return
        self.row_by_key[key] = row
        self._record(revision, key)

    def delete(self, revision, key):
        """Remove a row; a key that is not there is passed over.

        Parameters
        ----------
        revision : int
        key : str
        """
        if self.row_by_key.pop(key, None) is None:
            return
        self._record(revision, key)

    def changes_since(self, revision):
        """Return the rows to put and the keys to delete since a revision.

        Parameters
        ----------
        revision : int

        Returns
        -------
        tuple of (list of Row, list of str), or None
            None where the log does not reach back that far.
        """
        if revision < self.floor or revision > self.revision:
            return None
        keys = {}
        for changed_at, key in reversed(self._changes):
            if changed_at <= revision:
                break
            keys[key] = None
        puts = [self.row_by_key[key] for key in keys if key in self.row_by_key]
        deletes = [key for key in keys if key not in self.row_by_key]
        return puts, deletes

    def restore(self, revision, rows):
        """Start from a full set of rows; older revisions get the whole table.

        Parameters
        ----------
        revision : int
        rows : iterable of Row
        """
        self.row_by_key = {row.key: row for row in rows}
        self.revision = revision
        self.floor = revision
        self._changes.clear()

    def _record(self, revision, key):
        self.revision = revision
        self._changes.append((revision, key))
        while len(self._changes) > self._limit:
            # Part of a revision's changes is no delta, so the floor rises to the one dropped.
            self.floor = self._changes.popleft()[0]
