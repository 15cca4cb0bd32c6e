"""Recover a cluster from one data folder after permanent loss of a majority of its members."""

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.effects import WriteEntries, WriteVote
from hemlockdock_control.consensus.entry import EntryKind, LogEntry
from hemlockdock_control.storage.disk import Disk
from hemlockdock_control.storage.errors import UnusedFolderError
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_control.storage.member_storage import MemberStorage


def recover_single_member(settings):
    """Make a member the only one of its cluster.

    All entries of its log become committed. Data that only the lost members had is gone, so this
    is a last resort for operators. No other member of the cluster may be running, or be started
    later with its old folder.

    Parameters
    ----------
    settings : Settings
        Settings of the member, which must not be running.

    Returns
    -------
    int
        Index of the last recovered log entry.

    Raises
    ------
    StorageError
    """
    member_id = settings.process.node_id
    address = next(m.peer_address for m in settings.members if m.member_id == member_id)
    disk = Disk(settings.process.data_folder)
    try:
        storage = MemberStorage(disk, settings.control.cluster, member_id)
        if storage.identity.standing is MembershipOrigin.FRESH:
            raise UnusedFolderError(settings.process.data_folder)
        return _append_configuration(storage, member_id, address)
    finally:
        disk.close()


def _append_configuration(storage, member_id, address):
    durable = storage.durable
    last_index = durable.entries[-1].index if durable.entries else durable.snapshot.index
    term = durable.term + 1
    configuration = Configuration((Member(member_id, storage.identity.folder_id, address, True),))
    storage.write(WriteVote(term, ""))
    storage.write(
        WriteEntries(
            (LogEntry(last_index + 1, term, EntryKind.CONFIGURATION, configuration.encode()),)
        )
    )
    storage.sync()
    return last_index
