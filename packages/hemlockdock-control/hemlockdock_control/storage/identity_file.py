"""Read and write the identity file of a data folder."""

import msgspec

from hemlockdock_control.storage.errors import (
    DamagedStorageError,
    ForeignFolderError,
    NewerFormatError,
)
from hemlockdock_control.storage.frames import Ending, decode_frames, encode_frame
from hemlockdock_control.storage.identity import FORMAT, Identity
from hemlockdock_control.storage.wal import SUFFIX, segment_name, segment_names

NAME = "identity"


class FormatOnly(msgspec.Struct):
    """Format number of an identity; fields added by later releases are ignored.

    Attributes
    ----------
    format : int
    """

    format: int


def load(disk, cluster, member_id):
    """Return the identity of a folder, or None if the folder was never used.

    Parameters
    ----------
    disk : Disk
    cluster : str
    member_id : str

    Returns
    -------
    Identity or None

    Raises
    ------
    DamagedStorageError
    ForeignFolderError
    NewerFormatError
    """
    identity = load_unchecked(disk)
    if identity is None:
        return None
    if (identity.cluster, identity.member_id) != (cluster, member_id):
        found = f"member {identity.member_id} of cluster {identity.cluster}"
        raise ForeignFolderError("the data folder", found, f"member {member_id} of {cluster}")
    return identity


def load_unchecked(disk):
    """Return the identity of a folder without checking its cluster and member.

    The result is None if the folder was never used.

    Parameters
    ----------
    disk : Disk

    Returns
    -------
    Identity or None

    Raises
    ------
    DamagedStorageError
    NewerFormatError
    """
    if NAME not in disk.names():
        return None
    frames = decode_frames(disk.read(NAME))
    if frames.ending is not Ending.CLEAN or len(frames.payloads) != 1:
        raise DamagedStorageError(NAME, "the checksum does not match")
    found_format = msgspec.json.decode(frames.payloads[0], type=FormatOnly).format
    if found_format > FORMAT:
        raise NewerFormatError(NAME, found_format, FORMAT)
    return msgspec.json.decode(frames.payloads[0], type=Identity)


def prepare(disk, cluster, member_id):
    """Remove the remains of an interrupted first use, and create an identity.

    Parameters
    ----------
    disk : Disk
    cluster : str
    member_id : str

    Returns
    -------
    Identity

    Raises
    ------
    DamagedStorageError
        If the folder was in use and its identity file is missing.
    """
    first = segment_name(1)
    for name in disk.names():
        is_log = name.endswith((SUFFIX, ".snapshot"))
        if is_log and (name != first or len(decode_frames(disk.read(name)).payloads) > 1):
            raise DamagedStorageError(NAME, f"the file is missing, but {name} exists")
    for name in segment_names(disk):
        disk.remove(name)
    return Identity.generate(cluster, member_id)


def save(disk, identity):
    """Write the identity of a folder durably.

    Parameters
    ----------
    disk : Disk
    identity : Identity
    """
    disk.replace(NAME, encode_frame(msgspec.json.encode(identity)))
