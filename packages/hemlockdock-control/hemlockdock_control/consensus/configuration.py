"""Describe who the members are."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one member.

    Attributes
    ----------
    member_id : str
    folder_id : str
        Identity of its data folder. A member whose folder was emptied has another one, and so
        may not vote: it has forgotten what it promised.
    address : str
        Mailbox for other members.
    voter : bool
        Whether it counts towards a quorum.
    """

    member_id: str
    folder_id: str
    address: str
    voter: bool


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Hold all members.

    Attributes
    ----------
    members : tuple of Member
    """

    members: tuple[Member, ...] = ()

    @property
    def voter_ids(self):
        """Return the voters' ids as a list."""
        return [member.member_id for member in self.members if member.voter]

    @property
    def quorum(self):
        """Return how many voters make a quorum."""
        return len(self.voter_ids) // 2 + 1

    def find(self, member_id):
        """Return a member, None where there is none of that id.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Member or None
        """
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def has_voter(self, member_id, folder_id):
        """Tell whether a member with this very folder is a voter.

        A folder that was emptied has another identity: what it promised is forgotten.

        Parameters
        ----------
        member_id : str
        folder_id : str

        Returns
        -------
        bool
        """
        member = self.find(member_id)
        return member is not None and member.voter and member.folder_id == folder_id

    def with_member(self, member):
        """Return a configuration in which a member is added or replaced.

        Parameters
        ----------
        member : Member

        Returns
        -------
        Configuration
        """
        return Configuration((*self.without(member.member_id).members, member))

    def without(self, member_id):
        """Return a configuration that lacks a member.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Configuration
        """
        return Configuration(tuple(m for m in self.members if m.member_id != member_id))

    def encode(self):
        """Return the configuration's bytes."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data):
        """Return the configuration that the bytes hold.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Configuration
        """
        return msgspec.msgpack.decode(data, type=cls)
