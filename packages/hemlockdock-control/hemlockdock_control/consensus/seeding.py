"""Identities of the members of a fleet, whose settings list only some members, the seeds.

At the first start of a deployment the seeds found the cluster. The folder id of each founder is
derived from its address, so that every founder knows the others without exchanging messages. Any
other unused folder, including an emptied one at a founder's address, gets a new random member id
and joins the cluster, so that it never votes under the id of the member that was there before.
"""

import secrets

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.storage import identity_file
from hemlockdock_control.storage.errors import ForeignFolderError
from hemlockdock_control.storage.identity import FORMAT, Identity, MembershipOrigin
from hemlockdock_control.storage.member_storage import MemberStorage
from hemlockdock_core.addresses import link_ip

JOINER_ID_SEPARATOR = "+"
JOINER_TOKEN_BYTES = 6


def process_ip(settings):
    """Return the IP address at which this process is reachable.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    str
    """
    return link_ip(settings.listen.links)


def member_ip(member_id):
    """Return the IP address of a member of a fleet.

    Parameters
    ----------
    member_id : str

    Returns
    -------
    str
    """
    return member_id.partition(JOINER_ID_SEPARATOR)[0]


def open_seeded_storage(disk, settings):
    """Open a data folder, with a new identity if it was never used.

    Parameters
    ----------
    disk : Disk
    settings : Settings

    Returns
    -------
    MemberStorage

    Raises
    ------
    StorageError
    """
    cluster = settings.control.cluster
    ip = process_ip(settings)
    known = identity_file.load_unchecked(disk)
    if known is None:
        identity = _new_identity(settings, ip)
        return MemberStorage(disk, cluster, identity.member_id, new_identity=identity)
    if member_ip(known.member_id) != ip:
        raise ForeignFolderError("the data folder", f"member {known.member_id}", f"host {ip}")
    return MemberStorage(disk, cluster, known.member_id)


def founders_of(settings):
    """Return the configuration of the founders, which are the seeds in the settings.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Configuration
    """
    members = []
    for seed in settings.members:
        folder_id = _founder_folder_id(seed.member_id)
        members.append(Member(seed.member_id, folder_id, seed.peer_address, True))
    return Configuration(tuple(members))


def _new_identity(settings, ip):
    cluster = settings.control.cluster
    founders = founders_of(settings)
    if settings.fleet.first_start and founders.find(ip) is not None:
        folder_id = _founder_folder_id(ip)
        return Identity(FORMAT, cluster, ip, folder_id, MembershipOrigin.FOUNDER, founders)
    token = secrets.token_hex(JOINER_TOKEN_BYTES)
    member_id = f"{ip}{JOINER_ID_SEPARATOR}{token}"
    return Identity(FORMAT, cluster, member_id, token, MembershipOrigin.JOINER)


def _founder_folder_id(ip):
    return f"founder-{ip}"
