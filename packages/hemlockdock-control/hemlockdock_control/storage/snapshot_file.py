"""Snapshot files, each with a single frame."""

import msgspec

from hemlockdock_control.consensus.snapshot import Snapshot
from hemlockdock_control.storage.errors import DamagedStorageError
from hemlockdock_control.storage.frames import Ending, decode_frames, encode_frame

SUFFIX = ".snapshot"


def write_snapshot(disk, snapshot):
    """Write a snapshot durably and remove older ones.

    Parameters
    ----------
    disk : Disk
    snapshot : Snapshot
    """
    name = f"{snapshot.index:016d}{SUFFIX}"
    disk.replace(name, encode_frame(msgspec.msgpack.encode(snapshot)))
    for other in _names(disk):
        if other < name:
            disk.remove(other)


def read_snapshot(disk):
    """Return the latest snapshot, or None.

    Parameters
    ----------
    disk : Disk

    Returns
    -------
    Snapshot or None

    Raises
    ------
    DamagedStorageError
    """
    names = _names(disk)
    if not names:
        return None
    frames = decode_frames(disk.read(names[-1]))
    if frames.ending is not Ending.CLEAN or len(frames.payloads) != 1:
        raise DamagedStorageError(names[-1], "the snapshot's checksum does not match")
    return msgspec.msgpack.decode(frames.payloads[0], type=Snapshot)


def _names(disk):
    return [name for name in disk.names() if name.endswith(SUFFIX)]
