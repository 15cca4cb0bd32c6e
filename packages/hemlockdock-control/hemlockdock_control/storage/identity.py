"""Identity of a data folder."""

import secrets
from enum import StrEnum

import msgspec

from hemlockdock_control.consensus.configuration import Configuration

FORMAT = 1
FOLDER_ID_BYTES = 8


class MembershipOrigin(StrEnum):
    """How a member became part of its cluster."""

    FRESH = "fresh"
    FOUNDER = "founder"
    JOINER = "joiner"


class Identity(msgspec.Struct, frozen=True):
    """Cluster and member that a data folder belongs to.

    Attributes
    ----------
    format : int
    cluster : str
    member_id : str
    folder_id : str
        Random id, generated when the folder is first used.
    standing : MembershipOrigin
    founders : Configuration
        Members that formed the cluster; empty unless this member is a founder.
    """

    format: int
    cluster: str
    member_id: str
    folder_id: str
    standing: MembershipOrigin = MembershipOrigin.FRESH
    founders: Configuration = Configuration()

    @classmethod
    def generate(cls, cluster, member_id):
        """Create the identity of a new folder, with a random folder id.

        Parameters
        ----------
        cluster : str
        member_id : str

        Returns
        -------
        Identity
        """
        return cls(FORMAT, cluster, member_id, secrets.token_hex(FOLDER_ID_BYTES))
