"""The cluster configuration: the members, their addresses and which of them vote."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cluster.

    Attributes
    ----------
    member_id : str
    folder_id : str
        Identity of its data folder. A member whose folder was emptied has a new one and must not
        vote, since it has lost its term, its vote and the entries that it acknowledged.
    address : str
        Address at which it receives messages from other members.
    voter : bool
        Whether it counts towards a quorum.
    """

    member_id: str
    folder_id: str
    address: str
    voter: bool


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The set of all members, voters and non-voters.

    Attributes
    ----------
    members : tuple of Member
    """

    members: tuple[Member, ...] = ()

    @property
    def voter_ids(self):
        """Return the ids of the voters as a list."""
        return [member.member_id for member in self.members if member.voter]

    @property
    def quorum(self):
        """Return the number of voters in a majority."""
        return len(self.voter_ids) // 2 + 1

    def find(self, member_id):
        """Return the member with an id, or None if there is none.

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
        """Return whether a member is a voter and still has the folder it was configured with.

        A folder that was emptied has another id, since its vote and its acknowledged entries are
        lost.

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
        """Return a copy of the configuration with a member added or replaced.

        Parameters
        ----------
        member : Member

        Returns
        -------
        Configuration
        """
        return Configuration((*self.without(member.member_id).members, member))

    def without(self, member_id):
        """Return a copy of the configuration without a member.

        Parameters
        ----------
        member_id : str

        Returns
        -------
        Configuration
        """
        return Configuration(tuple(m for m in self.members if m.member_id != member_id))

    def encode(self):
        """Return the configuration encoded as MessagePack."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data):
        """Decode a configuration from MessagePack.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Configuration
        """
        return msgspec.msgpack.decode(data, type=cls)
