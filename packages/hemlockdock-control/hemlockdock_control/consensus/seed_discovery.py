"""Discovery among the members of a fleet, starting from the seeds."""

from dataclasses import dataclass

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.messages import Hello
from hemlockdock_control.consensus.seeding import founders_of

HELLOS_PER_ELECTION = 2


@dataclass(frozen=True, slots=True)
class ReceivedHello:
    """A hello and the time at which it was received.

    Attributes
    ----------
    hello : Hello
    received_ms : float
    """

    hello: Hello
    received_ms: float


@dataclass(frozen=True, slots=True)
class KnownMembers:
    """The latest members that a process knows.

    Attributes
    ----------
    configuration : Configuration
    committed_index : int
        Log index up to which it is known to be committed; 0 if it is not.
    """

    configuration: Configuration
    committed_index: int


class SeedDiscovery:
    """Sends hellos to the seeds and all known members until this member hears from a leader.

    Parameters
    ----------
    settings : Settings
    storage : MemberStorage
    links : PeerLinks

    Attributes
    ----------
    received_hello_by_id : dict of str to ReceivedHello
        Latest hello of each process.
    refusal : None
        Always None: in a fleet, a member with an emptied folder joins under a new id.
    """

    is_forming = False
    refusal = None

    def __init__(self, settings, storage, links):
        self.received_hello_by_id = {}
        self._storage = storage
        self._links = links
        self._election_ms = settings.control.election_ms
        self._next_hello_ms = 0.0
        self._leaving = False
        self._address_by_member_id = {}
        self.update_seeds(settings)

    @property
    def hello_by_id(self):
        """Return the latest hello of each process."""
        return {
            member_id: received.hello for member_id, received in self.received_hello_by_id.items()
        }

    def update_seeds(self, settings):
        """Add the addresses of the seeds in the settings.

        Parameters
        ----------
        settings : Settings
        """
        for member in founders_of(settings).members:
            self._add_address(member.member_id, member.address)

    def tick(self, known, now_ms, leader_silent_ms):
        """Send hellos if they are due.

        Parameters
        ----------
        known : KnownMembers
            The other members may have removed this member since.
        now_ms : float
        leader_silent_ms : float
            Time since the last contact with the leader.
        """
        is_member = known.configuration.find(self._storage.identity.member_id) is not None
        if is_member and leader_silent_ms < 2 * self._election_ms:
            return
        if now_ms < self._next_hello_ms:
            return
        self._next_hello_ms = now_ms + self._election_ms / HELLOS_PER_ELECTION
        for member in known.configuration.members:
            self._add_address(member.member_id, member.address)
        for member_id, address in self._address_by_member_id.items():
            self._links.update_address(member_id, address)
            self._links.send(member_id, self._make_hello(known, want_reply=True))

    def announce_leaving(self, known):
        """Tell all members that this one leaves, and ask what they know to be committed.

        Parameters
        ----------
        known : KnownMembers
        """
        self._leaving = True
        hello = self._make_hello(known, want_reply=True)
        for member in known.configuration.members:
            if member.address != self._links.address:
                self._links.send(member.member_id, hello)

    def handle_hello(self, sender, hello, known, now_ms):
        """Process a hello from another member.

        Parameters
        ----------
        sender : str
        hello : Hello
        known : KnownMembers
        now_ms : float
        """
        if hello.cluster != self._storage.identity.cluster:
            return
        self.received_hello_by_id[sender] = ReceivedHello(hello, now_ms)
        self._links.update_address(sender, hello.address)
        for member in hello.members.members:
            self._add_address(member.member_id, member.address)
        if hello.want_reply:
            self._links.send(sender, self._make_hello(known, want_reply=False))

    def _add_address(self, member_id, address):
        if address != self._links.address:
            self._address_by_member_id[member_id] = address

    def _make_hello(self, known, want_reply):
        identity = self._storage.identity
        return Hello(
            identity.cluster,
            identity.folder_id,
            self._links.address,
            identity.standing,
            identity.founders,
            want_reply,
            known.configuration,
            known.committed_index,
            self._leaving,
        )
