"""Bring a cluster back from one folder, after a majority of its members is lost for good."""

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.effects import WriteEntries, WriteVote
from hemlockdock_control.consensus.entry import EntryKind, LogEntry
from hemlockdock_control.storage.disk import Disk
from hemlockdock_control.storage.errors import UnusedFolderError
from hemlockdock_control.storage.identity import Standing
from hemlockdock_control.storage.member_storage import MemberStorage


def recover_single_member(settings):
    """Make the folder's member the only one of its cluster.

    All entries of its log count as committed after this. What only the lost members held is
    gone, so this is the operator's last resort. No other member of the cluster may run then or
    later with its old folder.

    Parameters
    ----------
    settings : Settings
        Of the member, which must not run.

    Returns
    -------
    int
        Index of the last entry that was found.

    Raises
    ------
    StorageError
    """
    member_id = settings.process.node_id
    address = next(m.peer_address for m in settings.members if m.member_id == member_id)
    disk = Disk(settings.process.data_folder)
    try:
        storage = MemberStorage(disk, settings.control.cluster, member_id)
        if storage.identity.standing is Standing.FRESH:
            raise UnusedFolderError(settings.process.data_folder)
        return _append_configuration(storage, member_id, address)
    finally:
        disk.close()


def _append_configuration(storage, member_id, address):
    durable = storage.durable
    last = durable.entries[-1].index if durable.entries else durable.snapshot.index
    term = durable.term + 1
    alone = Configuration((Member(member_id, storage.identity.folder_id, address, True),))
    storage.write(WriteVote(term, ""))
    storage.write(
        WriteEntries((LogEntry(last + 1, term, EntryKind.CONFIGURATION, alone.encode()),))
    )
    storage.sync()
    return last
