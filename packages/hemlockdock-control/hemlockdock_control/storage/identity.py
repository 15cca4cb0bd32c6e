"""Say whose folder it is."""

import secrets
from enum import StrEnum

import msgspec

from hemlockdock_control.consensus.configuration import Configuration

FORMAT = 1
FOLDER_ID_BYTES = 8


class Standing(StrEnum):
    """Say how a member came to its cluster."""

    FRESH = "fresh"
    FOUNDER = "founder"
    JOINER = "joiner"


class Identity(msgspec.Struct, frozen=True):
    """Say whose folder it is.

    Attributes
    ----------
    format : int
    cluster : str
    member_id : str
    folder_id : str
        Drawn at random when the folder is first used.
    standing : Standing
    founders : Configuration
        The members that formed the cluster; empty unless a founder.
    """

    format: int
    cluster: str
    member_id: str
    folder_id: str
    standing: Standing = Standing.FRESH
    founders: Configuration = Configuration()

    @classmethod
    def draw(cls, cluster, member_id):
        """Make the identity of a new folder.

        Parameters
        ----------
        cluster : str
        member_id : str

        Returns
        -------
        Identity
        """
        return cls(FORMAT, cluster, member_id, secrets.token_hex(FOLDER_ID_BYTES))
