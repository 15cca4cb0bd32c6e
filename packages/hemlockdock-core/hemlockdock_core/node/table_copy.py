"""Keep a copy of the routing table by whole tables and changes."""

from hemlockdock_core.rows import RoutingTable


class TableCopy:
    """Keep a copy of the routing table that never goes back.

    Attributes
    ----------
    table : RoutingTable
    """

    def __init__(self):
        self.table = RoutingTable()
        self._parts = {}
        self._parts_of = None

    @property
    def position(self):
        """Return (epoch, revision) of the copy."""
        return self.table.epoch, self.table.revision

    def take_chunk(self, chunk):
        """Take one part of a whole table.

        Parameters
        ----------
        chunk : TableChunk

        Returns
        -------
        bool
            Whether the copy changed.
        """
        version = (chunk.epoch, chunk.revision, chunk.count)
        if version[:2] <= self.position:
            return False
        if version != self._parts_of:
            self._parts_of = version
            self._parts = {}
        self._parts[chunk.index] = chunk.rows
        if len(self._parts) < chunk.count:
            return False
        self._replace(chunk.epoch, chunk.revision)
        return True

    def take_delta(self, delta):
        """Take the changes between two revisions.

        Parameters
        ----------
        delta : TableDelta

        Returns
        -------
        bool or None
            True where the copy changed, False where the changes are old, None where they do not
            start at the copy's revision, so that the table has to be asked for.
        """
        epoch, revision = self.position
        if (delta.epoch, delta.to_revision) <= (epoch, revision):
            return False
        if delta.epoch != epoch or delta.from_revision != revision:
            return None
        for key in delta.deletes:
            self.table.delete(key)
        for row in delta.puts:
            self.table.put(row)
        self.table.revision = delta.to_revision
        return True

    def _replace(self, epoch, revision):
        self.table.clear()
        for index in sorted(self._parts):
            for row in self._parts[index]:
                self.table.put(row)
        self.table.epoch = epoch
        self.table.revision = revision
        self._parts = {}
        self._parts_of = None
