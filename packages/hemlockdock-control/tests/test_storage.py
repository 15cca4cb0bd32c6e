"""Test that storage recovers all synced data, or fails with a specific error."""

import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, strategies
from support_disk import MemoryDisk
from support_fuzz import fuzz_settings, seeded

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.effects import (
    TruncateLog,
    WriteEntries,
    WriteSnapshot,
    WriteVote,
)
from hemlockdock_control.consensus.entry import EntryKind, LogEntry
from hemlockdock_control.consensus.snapshot import Snapshot
from hemlockdock_control.storage import identity, identity_file, wal
from hemlockdock_control.storage.disk import Disk
from hemlockdock_control.storage.errors import (
    DamagedStorageError,
    FolderLockedError,
    ForeignFolderError,
    NewerFormatError,
    StorageFailedError,
)
from hemlockdock_control.storage.frames import decode_frames, encode_frame
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_control.storage.member_storage import MemberStorage

SEGMENT_BYTES = 600
FUZZ = fuzz_settings(150)
sizes = strategies.lists(strategies.integers(1, 5), min_size=1, max_size=25)


def open_storage(disk, cluster="c", member_id="a"):
    return MemberStorage(disk, cluster, member_id, SEGMENT_BYTES)


def new_storage(disk):
    storage = open_storage(disk)
    founders = Configuration((Member("a", storage.identity.folder_id, "a", True),))
    storage.set_origin(MembershipOrigin.FOUNDER, founders)
    return storage


def entries(first, count, term=1):
    return tuple(
        LogEntry(index, term, EntryKind.COMMAND, b"data %d" % index * (index % 7))
        for index in range(first, first + count)
    )


def write_batches(disk, batch_sizes):
    """Write batches of entries, and return the log after each batch."""
    storage = new_storage(disk)
    written = []
    history = []
    for size in batch_sizes:
        batch = entries(len(written) + 1, size)
        storage.write(WriteEntries(batch))
        storage.sync()
        written.extend(batch)
        history.append(list(written))
    storage.close()
    return history


def log_names(disk):
    return [name for name in disk.names() if name.endswith(wal.SUFFIX)]


class WalFuzzTest(unittest.TestCase):
    @seeded
    @FUZZ
    @given(batch_sizes=sizes, cut=strategies.integers(0, 2**20))
    def test_cut_anywhere(self, batch_sizes, cut):
        disk = MemoryDisk()
        history = write_batches(disk, batch_sizes)
        names = log_names(disk)
        name = names[cut % len(names)]
        file = disk.file_by_name[name]
        length = cut % (len(file.data) + 1)
        is_cut = length < len(file.data)
        file.data = file.data[:length]
        try:
            found = open_storage(disk).durable.entries
        except DamagedStorageError:
            # Only the last write can be torn, and the start of the first segment is always synced.
            self.assertTrue(is_cut)
            self.assertTrue(name != names[-1] or len(names) == 1)
            self.assertEqual(len(file.data), length, "a refused folder was altered")
            return
        if is_cut:
            self.assertEqual(name, names[-1])
        self.assertIn(found, [[], *history])
        if not is_cut:
            self.assertEqual(found, history[-1])

    @seeded
    @FUZZ
    @given(batch_sizes=sizes, place=strategies.integers(0, 2**20), bit=strategies.integers(0, 7))
    def test_flip_anywhere(self, batch_sizes, place, bit):
        disk = MemoryDisk()
        write_batches(disk, batch_sizes)
        names = [*log_names(disk), identity_file.NAME]
        file = disk.file_by_name[names[place % len(names)]]
        data = bytearray(file.data)
        data[place % len(data)] ^= 1 << bit
        file.data = bytes(data)
        with self.assertRaises(DamagedStorageError):
            open_storage(disk)

    @seeded
    @FUZZ
    @given(seed=strategies.integers(0, 2**20), steps=strategies.integers(1, 60))
    def test_writes_and_crashes_against_a_list(self, seed, steps):
        rng = random.Random(seed)
        disk = MemoryDisk()
        storage = new_storage(disk)
        oracle = Oracle()
        for _ in range(steps):
            oracle.write(storage, rng)
            if rng.random() < 0.8:
                storage.sync()
                oracle.synced()
            if rng.random() < 0.2:
                disk.crash(rng)
                storage = open_storage(disk)
                oracle.check(self, storage.durable)


class Oracle:
    """Model of the states allowed after a crash: the last synced one and all later ones."""

    def __init__(self):
        self.state = (0, "", 0, [])
        self.synced()

    def synced(self):
        self.allowed = [self.state]

    def write(self, storage, rng):
        term, vote, base, log = self.state
        last = log[-1].index if log else base
        draw = rng.random()
        if draw < 0.15:
            term, vote = term + 1, rng.choice("abc")
            storage.write(WriteVote(term, vote))
        elif draw < 0.65:
            added = entries(last + 1, rng.randint(1, 4), term)
            log = [*log, *added]
            storage.write(WriteEntries(added))
        elif draw < 0.8 and log:
            index = rng.choice(log).index
            log = [entry for entry in log if entry.index < index]
            storage.write(TruncateLog(index))
        elif draw < 0.9 and log:
            chosen = rng.choice(log)
            base = chosen.index
            log = [entry for entry in log if entry.index > base]
            storage.sync()
            storage.write(WriteSnapshot(Snapshot(base, chosen.term, Configuration(), b"s"), False))
        else:
            base, log = last + rng.randint(1, 5), []
            storage.sync()
            storage.write(WriteSnapshot(Snapshot(base, term, Configuration(), b"s"), True))
            storage.sync()
        self.state = (term, vote, base, log)
        self.allowed.append(self.state)
        if draw >= 0.8:
            self.synced()

    def check(self, test, durable):
        found = (durable.term, durable.voted_for, durable.snapshot.index, durable.entries)
        test.assertIn(found, self.allowed)
        self.state = found
        self.synced()


class FolderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_all_data_is_recovered_from_a_real_disk(self):
        disk = Disk(self.folder)
        history = write_batches(disk, [3] * 40)
        self.assertGreater(len(list(self.folder.glob("*.wal"))), 2)
        disk = Disk(self.folder)
        storage = open_storage(disk)
        self.assertEqual(storage.durable.entries, history[-1])
        storage.write(WriteSnapshot(Snapshot(119, 1, Configuration(), b"s"), False))
        self.assertEqual(len(list(self.folder.glob("*.wal"))), 1)
        storage.close()
        found = open_storage(Disk(self.folder)).durable
        self.assertEqual(found.snapshot.data, b"s")
        self.assertEqual(found.entries, history[-1][119:])

    def test_a_folder_is_locked_by_one_process(self):
        disk = Disk(self.folder)
        with self.assertRaises(FolderLockedError):
            Disk(self.folder)
        disk.close()
        Disk(self.folder).close()

    def test_a_folder_of_another_member_or_cluster_is_refused(self):
        disk = MemoryDisk()
        write_batches(disk, [1])
        for cluster, member_id in (("c", "b"), ("other", "a")):
            with self.assertRaises(ForeignFolderError) as raised:
                open_storage(disk, cluster, member_id)
            self.assertIn("member a of cluster c", str(raised.exception))

    def test_a_newer_format_is_refused(self):
        disk = MemoryDisk()
        storage = new_storage(disk)
        self.addCleanup(setattr, identity, "FORMAT", identity.FORMAT)
        newer = identity.Identity(identity.FORMAT + 1, "c", "a", storage.identity.folder_id)
        identity_file.save(disk, newer)
        with self.assertRaises(NewerFormatError):
            open_storage(disk)

    def test_a_missing_identity_is_distinguished_from_an_unused_folder(self):
        disk = MemoryDisk()
        write_batches(disk, [1, 1])
        disk.remove(identity_file.NAME)
        with self.assertRaises(DamagedStorageError) as raised:
            open_storage(disk)
        self.assertIn("new member id", str(raised.exception))

    def test_an_interrupted_first_use_is_restarted(self):
        for place in ("append", "sync", "sync folder", "after sync"):
            disk = MemoryDisk()
            disk.fault = (place, OSError("power lost"))
            with self.assertRaises(OSError):
                open_storage(disk)
            disk.crash(random.Random(1))
            self.assertEqual(new_storage(disk).durable.entries, [])

    def test_nothing_is_written_after_a_failed_sync(self):
        disk = MemoryDisk()
        storage = new_storage(disk)
        disk.fault = ("sync", OSError("no space left on device"))
        storage.write(WriteVote(1, "a"))
        for _ in range(2):
            with self.assertRaises(StorageFailedError):
                storage.sync()
            storage.write(WriteVote(2, "b"))
        with self.assertRaises(StorageFailedError):
            storage.write(WriteSnapshot(Snapshot(1, 1, Configuration(), b""), False))

    def test_a_complete_segment_without_its_last_frame_is_refused(self):
        disk = MemoryDisk()
        write_batches(disk, [3] * 40)
        names = log_names(disk)
        file = disk.file_by_name[names[-2]]
        payloads = decode_frames(file.data).payloads
        file.data = b"".join(encode_frame(payload) for payload in payloads[:-1])
        with self.assertRaises(DamagedStorageError) as raised:
            open_storage(disk)
        self.assertIn("cut short", str(raised.exception))

    def test_zero_pages_are_a_torn_write_and_other_bytes_are_corruption(self):
        disk = MemoryDisk()
        history = write_batches(disk, [1])
        file = disk.file_by_name[log_names(disk)[-1]]
        whole = file.data
        for tail, is_torn in ((bytes(500), True), (b"x" * 500, False), (bytes(3), True)):
            file.data = whole + tail
            if is_torn:
                self.assertEqual(open_storage(disk).durable.entries, history[-1])
                continue
            with self.assertRaises(DamagedStorageError):
                open_storage(disk)


if __name__ == "__main__":
    unittest.main()
