"""Send the routing table and its changes to watching nodes."""

import msgspec

from hemlockdock_control.hub.watcher import Watcher
from hemlockdock_core.messages import TableChunk, TableDelta
from hemlockdock_core.metrics import COUNTERS

ROWS_PER_CHUNK = 500
MAX_WATCHERS = 4_096

_ENCODER = msgspec.msgpack.Encoder()


class TableFeed:
    """Send each watcher the table changes since its revision, from this member's applied state.

    Each delta is computed and encoded once for all watchers at the same revision.

    Parameters
    ----------
    send : callable
        Called with an address and an encoded message.

    Attributes
    ----------
    watcher_by_address : dict of str to Watcher
    """

    def __init__(self, send):
        self._send = send
        self._cached_position = None
        self._cached_chunks = []
        self.watcher_by_address = {}

    def watch(self, node_id, address, request, now_ms):
        """Add a watcher, or reset it to the epoch and revision of its request.

        A duplicate request does not reset the watcher.

        Parameters
        ----------
        node_id : str
        address : str
        request : WatchTable
        now_ms : float
            On the clock that measures silence.

        Returns
        -------
        bool
            False if the watcher was refused because this member has ``MAX_WATCHERS`` watchers.
        """
        known = self.watcher_by_address.get(address)
        requested_position = (request.epoch, request.revision)
        if known is not None and known.is_duplicate(requested_position, now_ms):
            known.last_heard_ms = now_ms
            return True
        if known is None and len(self.watcher_by_address) >= MAX_WATCHERS:
            COUNTERS.increment("table_watchers_refused")
            return False
        watcher = Watcher(node_id, address, *requested_position, now_ms, requested_position, now_ms)
        self.watcher_by_address[address] = watcher
        return True

    def touch(self, address, now_ms):
        """Record that a watcher is alive.

        Parameters
        ----------
        address : str
        now_ms : float
        """
        watcher = self.watcher_by_address.get(address)
        if watcher is not None:
            watcher.last_heard_ms = now_ms

    def remove_silent(self, now_ms, silent_ms):
        """Remove watchers that have been silent for a given time.

        Parameters
        ----------
        now_ms : float
        silent_ms : float

        Returns
        -------
        list of str
            Addresses of the removed watchers.
        """
        silent = [
            watcher.address
            for watcher in self.watcher_by_address.values()
            if now_ms - watcher.last_heard_ms >= silent_ms
        ]
        for address in silent:
            del self.watcher_by_address[address]
        return silent

    def push(self, epoch, changes):
        """Send each watcher the changes that it does not have yet.

        Parameters
        ----------
        epoch : int
        changes : ChangeLog
        """
        if not epoch:
            return
        frames_by_base = {}
        for watcher in self.watcher_by_address.values():
            if watcher.epoch == epoch and watcher.revision >= changes.revision:
                # A member behind the watcher's revision sends nothing until it has caught up.
                continue
            base = watcher.revision if watcher.epoch == epoch else None
            if base not in frames_by_base:
                frames_by_base[base] = self._frames(epoch, base, changes)
            for frame in frames_by_base[base]:
                self._send(watcher.address, frame)
            watcher.epoch = epoch
            watcher.revision = changes.revision

    def _frames(self, epoch, base, changes):
        delta = changes.changes_since(base) if base is not None else None
        if delta is None or len(delta[0]) + len(delta[1]) > len(changes.row_by_key):
            return self._full_table(epoch, changes)
        puts, deletes = delta
        COUNTERS.increment("table_deltas_encoded")
        message = TableDelta(epoch, base, changes.revision, puts, deletes)
        return [msgspec.Raw(_ENCODER.encode(message))]

    def _full_table(self, epoch, changes):
        position = (epoch, changes.revision)
        if position != self._cached_position:
            # The encoded table is cached, so that nodes joining together share one encoding.
            self._cached_position = position
            self._cached_chunks = list(_chunks(epoch, changes))
        return self._cached_chunks


def _chunks(epoch, changes):
    COUNTERS.increment("table_copies_encoded")
    rows = list(changes.row_by_key.values())
    count = max(1, -(-len(rows) // ROWS_PER_CHUNK))
    for index in range(count):
        part = rows[index * ROWS_PER_CHUNK : (index + 1) * ROWS_PER_CHUNK]
        message = TableChunk(epoch, changes.revision, index, count, part)
        yield msgspec.Raw(_ENCODER.encode(message))
