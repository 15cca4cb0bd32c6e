"""A node's copy of the routing table."""

from hemlockdock_core.rows import RoutingTable


class TableCopy:
    """A copy of the routing table, updated by full tables and deltas.

    Its (epoch, revision) never decreases.

    Attributes
    ----------
    table : RoutingTable
    """

    def __init__(self):
        self.table = RoutingTable()
        self._received_chunks = {}
        self._received_version = None

    @property
    def position(self):
        """Return the (epoch, revision) of the copy."""
        return self.table.epoch, self.table.revision

    def take_chunk(self, chunk):
        """Store one chunk of a full table, and replace the copy once all chunks are there.

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
        if version != self._received_version:
            self._received_version = version
            self._received_chunks = {}
        self._received_chunks[chunk.index] = chunk.rows
        if len(self._received_chunks) < chunk.count:
            return False
        self._replace(chunk.epoch, chunk.revision)
        return True

    def take_delta(self, delta):
        """Apply the changes between two revisions.

        Parameters
        ----------
        delta : TableDelta

        Returns
        -------
        bool or None
            True if the copy changed, False if the delta is outdated, None if it does not start at
            the copy's revision and the missing changes have to be requested.
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
        for index in sorted(self._received_chunks):
            for row in self._received_chunks[index]:
                self.table.put(row)
        self.table.epoch = epoch
        self.table.revision = revision
        self._received_chunks = {}
        self._received_version = None
