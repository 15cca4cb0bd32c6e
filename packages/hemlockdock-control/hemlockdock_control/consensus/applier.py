"""Application of committed entries to the state machine, in slices of bounded duration."""

from collections import deque

from twisted.internet.defer import Deferred, succeed

from hemlockdock_control.consensus.entry import EntryKind

# Entries up to this size together take a fraction of a slice.
SHORT_BYTES = 64 * 1024


class Applier:
    """Applies committed entries in their order, a bounded time in each reactor turn.

    It answers the load of a long tail of the log, as after a restart: the member keeps its
    heartbeats, votes and acknowledgements while it catches up.

    Parameters
    ----------
    now_ms : callable
        Returns the time of a monotonic clock.
    state_machine : object
        Has the methods ``apply`` and ``restore``.
    pending : PendingProposals
    slice_ms : float
        Time after which a reactor turn begins no further entry.

    Attributes
    ----------
    applied_index : int
        Index of the last entry applied.
    tail_bytes : int
        Size of the entries applied since the last snapshot.
    """

    def __init__(self, now_ms, state_machine, pending, slice_ms):
        self.applied_index = 0
        self.tail_bytes = 0
        self._now_ms = now_ms
        self._state_machine = state_machine
        self._pending = pending
        self._slice_ms = slice_ms
        self._entries = deque()
        self._queued_bytes = 0
        self._waiting = deque()

    @property
    def is_idle(self):
        """Return whether no committed entry waits."""
        return not self._entries

    @property
    def is_short(self):
        """Return whether some entries wait, which take a fraction of a slice together."""
        return bool(self._entries) and self._queued_bytes <= SHORT_BYTES

    def add(self, entries):
        """Queue committed entries.

        Parameters
        ----------
        entries : tuple of LogEntry
        """
        self._entries.extend(entries)
        self._queued_bytes += sum(len(entry.data) for entry in entries)

    def restore(self, snapshot):
        """Replace the state by a snapshot, which includes all entries that still wait.

        Parameters
        ----------
        snapshot : Snapshot
        """
        self._entries.clear()
        self._queued_bytes = 0
        self._state_machine.restore(snapshot.index, snapshot.data)
        self.start_at(snapshot.index)

    def start_at(self, index):
        """Set the index that the state includes.

        Parameters
        ----------
        index : int
        """
        self.applied_index = index
        self.tail_bytes = 0
        self._release_waiting()

    def run_slice(self):
        """Apply entries until the slice is over; at least one if any waits."""
        end_ms = self._now_ms() + self._slice_ms
        while self._entries:
            self._apply(self._entries.popleft())
            if self._now_ms() >= end_ms:
                break
        self._release_waiting()

    def reach(self, index):
        """Wait until the state includes an index.

        Parameters
        ----------
        index : int
            At least that of earlier calls.

        Returns
        -------
        Deferred
            Fires with None; is cancelled if the member stops before.
        """
        if self.applied_index >= index:
            return succeed(None)
        reached = Deferred()
        self._waiting.append((index, reached))
        return reached

    def stop(self):
        """Cancel all that wait for an index."""
        waiting = self._waiting
        self._waiting = deque()
        for _, reached in waiting:
            reached.cancel()

    def _apply(self, entry):
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self._state_machine.apply(entry.index, entry.data)
        self.applied_index = entry.index
        self.tail_bytes += len(entry.data)
        self._queued_bytes -= len(entry.data)
        self._pending.resolve(entry, result)

    def _release_waiting(self):
        while self._waiting and self._waiting[0][0] <= self.applied_index:
            _, reached = self._waiting.popleft()
            if not reached.called:
                reached.callback(None)
