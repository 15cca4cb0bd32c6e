"""Decide which parts of the routing table go to which watcher."""

import msgspec

from hemlockdock_control.hub.watcher import Watcher
from hemlockdock_core.messages import TableChunk, TableDelta
from hemlockdock_core.metrics import COUNTERS

ROWS_PER_CHUNK = 500
MAX_WATCHERS = 4_096

_ENCODER = msgspec.msgpack.Encoder()


class TableFeed:
    """Send each watcher the changes since what it holds, from this member's applied state.

    Each delta is computed and encoded once for all watchers that hold the same revision.

    Parameters
    ----------
    send : callable
        Takes an address and an encoded message.

    Attributes
    ----------
    watcher_by_address : dict of str to Watcher
    """

    def __init__(self, send):
        self._send = send
        self._copy_at = None
        self._copy = []
        self.watcher_by_address = {}

    def watch(self, node_id, address, request, now_ms):
        """Begin to serve a watcher, or start over from what it says that it holds.

        Parameters
        ----------
        node_id : str
        address : str
        request : WatchTable
        now_ms : float
            By the silence clock.

        Returns
        -------
        bool
            False where this member has as many watchers as it takes.
        """
        known = self.watcher_by_address.get(address)
        asked_at = (request.epoch, request.revision)
        if known is not None and known.repeats(asked_at, now_ms):
            known.heard_ms = now_ms
            return True
        if known is None and len(self.watcher_by_address) >= MAX_WATCHERS:
            COUNTERS.increment("table_watchers_refused")
            return False
        watcher = Watcher(node_id, address, *asked_at, now_ms, asked_at, now_ms)
        self.watcher_by_address[address] = watcher
        return True

    def touch(self, address, now_ms):
        """Note that a watcher is alive.

        Parameters
        ----------
        address : str
        now_ms : float
        """
        watcher = self.watcher_by_address.get(address)
        if watcher is not None:
            watcher.heard_ms = now_ms

    def forget_silent(self, now_ms, silent_ms):
        """Drop watchers that were not heard for a time.

        Parameters
        ----------
        now_ms : float
        silent_ms : float

        Returns
        -------
        list of str
            Their addresses.
        """
        silent = [
            watcher.address
            for watcher in self.watcher_by_address.values()
            if now_ms - watcher.heard_ms >= silent_ms
        ]
        for address in silent:
            del self.watcher_by_address[address]
        return silent

    def push(self, epoch, changes):
        """Send every watcher what it lacks.

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
                # A member that lags behind what a watcher holds sends nothing until it is past.
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
            return self._whole(epoch, changes)
        puts, deletes = delta
        COUNTERS.increment("table_deltas_encoded")
        message = TableDelta(epoch, base, changes.revision, puts, deletes)
        return [msgspec.Raw(_ENCODER.encode(message))]

    def _whole(self, epoch, changes):
        copy_at = (epoch, changes.revision)
        if copy_at != self._copy_at:
            # Many nodes that join at once cost one encoding.
            self._copy_at = copy_at
            self._copy = list(_chunks(epoch, changes))
        return self._copy


def _chunks(epoch, changes):
    COUNTERS.increment("table_copies_encoded")
    rows = list(changes.row_by_key.values())
    count = max(1, -(-len(rows) // ROWS_PER_CHUNK))
    for index in range(count):
        part = rows[index * ROWS_PER_CHUNK : (index + 1) * ROWS_PER_CHUNK]
        message = TableChunk(epoch, changes.revision, index, count, part)
        yield msgspec.Raw(_ENCODER.encode(message))
