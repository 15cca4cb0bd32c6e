"""Own a member's data folder: its identity, write-ahead log and snapshots."""

import msgspec

from hemlockdock_control.consensus.durable_state import DurableState
from hemlockdock_control.consensus.effects import WriteSnapshot, WriteVote
from hemlockdock_control.consensus.snapshot import Snapshot
from hemlockdock_control.storage import identity_file
from hemlockdock_control.storage.errors import DamagedStorageError, StorageFailedError
from hemlockdock_control.storage.identity import Standing
from hemlockdock_control.storage.records import ResetRecord, record_of
from hemlockdock_control.storage.replay import Replay
from hemlockdock_control.storage.snapshot_file import read_snapshot, write_snapshot
from hemlockdock_control.storage.wal import SEGMENT_BYTES, Wal


class MemberStorage:
    """Own a member's data folder.

    After a failed write or sync every later one fails too: what the disk holds is then not known.

    Parameters
    ----------
    disk : Disk
    cluster : str
    member_id : str
    segment_bytes : int, optional
    new_identity : Identity, optional
        Taken where the folder was never used; by default one is drawn.

    Attributes
    ----------
    identity : Identity
    durable : DurableState
        What the disk held when it was opened.

    Raises
    ------
    StorageError
    """

    def __init__(self, disk, cluster, member_id, segment_bytes=SEGMENT_BYTES, new_identity=None):
        self._disk = disk
        self._waiting = []
        self._failure = None
        self.identity = identity_file.load(disk, cluster, member_id)
        is_new = self.identity is None
        if is_new:
            drawn = identity_file.prepare(disk, cluster, member_id)
            self.identity = new_identity or drawn
            Wal(disk, self.identity.folder_id).begin(0, "")
            # The identity comes last: a folder without it was never used.
            self._save_identity()
        self._wal = Wal(disk, self.identity.folder_id, segment_bytes)
        self.durable = self._recover()
        self._term = self.durable.term
        self._voted_for = self.durable.voted_for
        self._snapshot_index = self.durable.snapshot.index

    @property
    def has_waiting(self):
        """Tell whether writes wait for a sync."""
        return bool(self._waiting)

    def write(self, effect):
        """Take a write, to be made durable by the next sync.

        Parameters
        ----------
        effect : WriteVote, WriteEntries, TruncateLog or WriteSnapshot

        Raises
        ------
        StorageFailedError
        """
        if isinstance(effect, WriteSnapshot):
            self._guard(self._write_snapshot, effect)
            return
        if isinstance(effect, WriteVote):
            self._term = effect.term
            self._voted_for = effect.voted_for
        self._waiting.append(record_of(effect))

    def sync(self):
        """Make all writes durable.

        Raises
        ------
        StorageFailedError
        """
        self._guard(self._sync)

    def set_standing(self, standing, founders):
        """Record how this member came to its cluster, durably.

        Parameters
        ----------
        standing : Standing
        founders : Configuration

        Raises
        ------
        StorageFailedError
        """
        changed = msgspec.structs.replace(self.identity, standing=standing, founders=founders)
        self.identity = changed
        self._guard(self._save_identity)

    def founded_durable(self):
        """Return what the disk held, with the founders if the folder was unused then.

        Returns
        -------
        DurableState
        """
        durable = self.durable
        if durable.snapshot.index == 0:
            durable.snapshot = Snapshot(0, 0, self.identity.founders, b"")
        return durable

    def close(self):
        """Close the folder; writes that wait are dropped."""
        self._disk.close()

    def _recover(self):
        replay = Replay()
        for record in self._wal.read():
            replay.take(record)
        snapshot = read_snapshot(self._disk)
        if snapshot is None:
            snapshot = Snapshot(0, 0, self.identity.founders, b"")
        entries = replay.entries_after(snapshot)
        if entries is None:
            self._wal.append([ResetRecord(snapshot.index)])
            entries = []
        if (entries or snapshot.index) and self.identity.standing is Standing.FRESH:
            raise DamagedStorageError(identity_file.NAME, "it says the folder was never used")
        return DurableState(replay.term, replay.voted_for, snapshot, entries)

    def _write_snapshot(self, effect):
        write_snapshot(self._disk, effect.snapshot)
        self._snapshot_index = effect.snapshot.index
        if effect.installed:
            self._waiting.append(ResetRecord(effect.snapshot.index))
        self._wal.drop_before(self._snapshot_index)

    def _sync(self):
        if not self._waiting:
            return
        records = self._waiting
        self._waiting = []
        self._wal.append(records)
        if self._wal.is_full:
            self._wal.begin(self._term, self._voted_for)
            self._wal.drop_before(self._snapshot_index)

    def _save_identity(self):
        identity_file.save(self._disk, self.identity)

    def _guard(self, step, *arguments):
        if self._failure is not None:
            raise self._failure
        try:
            step(*arguments)
        except OSError as error:
            self._failure = StorageFailedError(error)
            raise self._failure from error
