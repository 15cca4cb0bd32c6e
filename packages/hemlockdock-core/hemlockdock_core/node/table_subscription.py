"""A node's subscription to the routing table."""

from hemlockdock_core.messages import TableChunk, WatchTable
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node.table_copy import TableCopy


class TableSubscription:
    """Keeps a copy of the routing table, and requests the changes that it missed.

    Parameters
    ----------
    send : callable
        Sends a message to the selected control member.
    on_table : callable or None
        Called without arguments after each change of the table.

    Attributes
    ----------
    is_wanted : bool
        Whether the node needs the table.
    """

    def __init__(self, send, on_table):
        self.is_wanted = True
        self._send = send
        self._on_table = on_table
        self._copy = TableCopy()

    @property
    def table(self):
        """Return the RoutingTable, whose rows are updated in place."""
        return self._copy.table

    @property
    def position(self):
        """Return the epoch and the revision of the copy."""
        return self._copy.position

    def request(self):
        """Request the table, or its changes since the copy's revision."""
        if self.is_wanted:
            self._send(WatchTable(*self._copy.position))

    def request_if_behind(self, revision):
        """Request the changes up to a revision that control has.

        Parameters
        ----------
        revision : int
        """
        if revision > self._copy.table.revision:
            self.request()

    def request_if_empty(self):
        """Request the table unless there is a copy."""
        if self._copy.table.revision == 0:
            self.request()

    def take(self, message):
        """Apply a part of the table, or changes of it.

        Parameters
        ----------
        message : TableChunk or TableDelta
        """
        if isinstance(message, TableChunk):
            changed = self._copy.take_chunk(message)
        else:
            changed = self._copy.take_delta(message)
            if changed is None:
                COUNTERS.increment("table_gaps")
                self.request()
        if changed and self._on_table is not None:
            self._on_table()
