"""Message links between members.

The sender's name in each frame starts with the name of the cluster, so that frames of another
cluster's member, received because of a wrong address, are dropped.
"""

from hemlockdock_control.consensus.messages import PEER_CODEC
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.metrics import COUNTERS

CLUSTER_SEPARATOR = "/"


class PeerLinks:
    """The transport to the other members and their addresses.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    incarnation : int
    on_message : callable
        Called with a member id and a message.
    tls : LinkTls, optional
    member_id : str, optional
        By default the node id in the settings.
    address : str, optional
        Address at which this member receives messages; by default the one in the settings.
    """

    def __init__(
        self, reactor, settings, incarnation, on_message, tls=None, member_id=None, address=None
    ):
        self._member_id = member_id or settings.process.node_id
        self._on_message = on_message
        self._address_by_id = {m.member_id: m.peer_address for m in settings.members}
        self.address = address or self._address_by_id[self._member_id]
        self._heard_ms_by_id = {}
        self._reconnected_ms_by_address = {}
        self._cluster = settings.control.cluster
        sender = self._cluster + CLUSTER_SEPARATOR + self._member_id
        self._transport = MessageTransport(
            reactor,
            sender,
            incarnation,
            PEER_CODEC,
            settings.listen.peers or self.address,
            self._receive,
            tls,
            self.address,
        )

    def update_address(self, member_id, address):
        """Set the address of a member.

        Parameters
        ----------
        member_id : str
        address : str
        """
        known = self._address_by_id.get(member_id)
        if known == address:
            return
        if known is not None:
            self._transport.forget(known)
        self._address_by_id[member_id] = address

    def update_addresses(self, configuration):
        """Set the addresses of all members of a configuration.

        Parameters
        ----------
        configuration : Configuration
        """
        for member in configuration.members:
            if member.member_id != self._member_id:
                self.update_address(member.member_id, member.address)

    def send(self, member_id, message):
        """Send a message; it is dropped if the member's address is not known.

        Parameters
        ----------
        member_id : str
        message : PeerMessage
        """
        address = self._address_by_id.get(member_id)
        if address is not None:
            self._transport.send(address, message)

    def reconnect_silent(self, now_ms, silent_ms):
        """Reconnect to addresses from which nothing was received for a while.

        A broken connection may stay open without delivering anything, while a new one works.

        Parameters
        ----------
        now_ms, silent_ms : float
        """
        for address, heard_ms in self._heard_ms_by_address().items():
            reconnected_ms = self._reconnected_ms_by_address.get(address, heard_ms)
            if now_ms - max(heard_ms, reconnected_ms) < silent_ms:
                continue
            self._reconnected_ms_by_address[address] = now_ms
            self._transport.disconnect(address)

    def _heard_ms_by_address(self):
        # A host that lost its folder has another member id at the same address.
        heard_ms_by_address = {}
        for member_id, address in self._address_by_id.items():
            heard_ms = self._heard_ms_by_id.get(member_id)
            if member_id == self._member_id or heard_ms is None:
                continue
            heard_ms_by_address[address] = max(heard_ms, heard_ms_by_address.get(address, heard_ms))
        return heard_ms_by_address

    def record_contact(self, member_id, now_ms):
        """Record that a message of a member was received.

        Parameters
        ----------
        member_id : str
        now_ms : float
        """
        self._heard_ms_by_id[member_id] = now_ms

    def close(self):
        """Close all sockets."""
        self._transport.close()

    def _receive(self, frame):
        cluster, _, member_id = frame.sender.rpartition(CLUSTER_SEPARATOR)
        if cluster != self._cluster or member_id == self._member_id:
            COUNTERS.increment("consensus_foreign_frames")
            return
        self._on_message(member_id, frame.body)
