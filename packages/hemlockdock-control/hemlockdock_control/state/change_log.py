"""Log of the row keys changed by recent revisions."""

from collections import deque

CHANGE_LOG_ENTRIES = 20_000


class ChangeLog:
    """Current rows of the routing table and the keys changed by recent revisions.

    Attributes
    ----------
    row_by_key : dict of str to Row
    revision : int
        Log index of the latest entry that changed a row.
    oldest_revision : int
        Oldest revision from which a delta can be computed.
    """

    def __init__(self, limit=CHANGE_LOG_ENTRIES):
        self.row_by_key = {}
        self.revision = 0
        self.oldest_revision = 0
        self._limit = limit
        self._changes = deque()

    def put(self, revision, row):
        """Insert or replace a row.

        Putting an equal row does not create a new revision.

        Parameters
        ----------
        revision : int
        row : Row
        """
        self.put_all(revision, (row,))

    def put_all(self, revision, rows):
        """Insert or replace rows.

        Parameters
        ----------
        revision : int
        rows : iterable of Row

        Returns
        -------
        set of str
            Keys of the rows.
        """
        keys = set()
        row_by_key = self.row_by_key
        changes = self._changes
        for row in rows:
            key = row.key
            keys.add(key)
            if row_by_key.get(key) == row:
                continue
            row_by_key[key] = row
            changes.append((revision, key))
            self.revision = revision
        self._drop_old()
        return keys

    def delete(self, revision, key):
        """Remove a row; unknown keys are ignored.

        Parameters
        ----------
        revision : int
        key : str
        """
        if self.row_by_key.pop(key, None) is None:
            return
        self.revision = revision
        self._changes.append((revision, key))
        self._drop_old()

    def changes_since(self, revision):
        """Return the rows to put and the keys to delete since a revision.

        Parameters
        ----------
        revision : int

        Returns
        -------
        tuple of (list of Row, list of str), or None
            None if the log does not cover the revision.
        """
        if revision < self.oldest_revision or revision > self.revision:
            return None
        keys = {}
        for change_revision, key in reversed(self._changes):
            if change_revision <= revision:
                break
            keys[key] = None
        puts = [self.row_by_key[key] for key in keys if key in self.row_by_key]
        deletes = [key for key in keys if key not in self.row_by_key]
        return puts, deletes

    def restore(self, revision, rows):
        """Replace all rows and clear the log.

        Watchers at older revisions then need the full table.

        Parameters
        ----------
        revision : int
        rows : iterable of Row
        """
        self.row_by_key = {row.key: row for row in rows}
        self.revision = revision
        self.oldest_revision = revision
        self._changes.clear()

    def _drop_old(self):
        while len(self._changes) > self._limit:
            # The dropped revision may have changed further keys that are still in the log. A delta
            # from before it would be incomplete, so it becomes the oldest usable revision.
            self.oldest_revision = self._changes.popleft()[0]
