"""Simulate, on virtual time, the connections between processes, which may go silent."""

from collections import deque
from enum import Enum
from functools import partial

from twisted.internet.task import Clock

from benchmarks.limit_network import EntryReactor

ONE_WAY_S = 0.002


class Direction(Enum):
    """Which connections between nodes and control members go silent."""

    TO_MEMBERS = "to_members"
    TO_NODES = "to_nodes"
    BOTH = "both"


class VirtualConnection:
    """A connection that delivers frames in order until it goes silent or is closed.

    Parameters
    ----------
    network : LinkNetwork
    source, target : str
        Addresses of the mailboxes of the two processes.

    Attributes
    ----------
    silent : bool
    """

    def __init__(self, network, source, target):
        self.source = source
        self.target = target
        self.silent = False
        self._network = network
        self._free_s = 0.0

    def deliver(self, data):
        """Deliver a frame, unless the connection is silent."""
        if self.silent:
            self._network.lost += 1
            return
        now_s = self._network.seconds()
        self._free_s = max(self._free_s, now_s) + self._network.duration_s(data)
        self._network.callLater(self._free_s - now_s + ONE_WAY_S, self._arrive, data)

    def _arrive(self, data):
        if self.silent:
            self._network.lost += 1
            return
        self._network.deliver(self, data)


class VirtualOutbox:
    """The `Outbox` of a process on a virtual network.

    Frames that were sent before it is closed are still delivered, as they are over TCP.

    Parameters
    ----------
    network : LinkNetwork
    source : str
        Address of the mailbox of the process that owns the outbox.
    reactor : EntryReactor
    address : str
    tls_config : None, optional

    Attributes
    ----------
    is_moving : bool
        False, as if all frames were in the buffers of the operating system.
    """

    is_moving = False

    def __init__(self, network, source, reactor, address, tls_config=None):
        self._connection = VirtualConnection(network, source, address)
        self._queue = deque()
        self._connected = False
        self._closed = False
        network.connect(self._connection, reactor, self._established)

    @property
    def is_connected(self):
        """Tell whether the connection is established."""
        return self._connected

    def send(self, data):
        """Send a frame, or queue it until the connection is established."""
        if self._closed:
            return
        if self._connected:
            self._connection.deliver(data)
        else:
            self._queue.append(data)

    def close(self):
        """Close the connection."""
        self._closed = True
        self._queue.clear()

    def _established(self):
        if self._closed:
            return
        self._connected = True
        while self._queue:
            self._connection.deliver(self._queue.popleft())


class VirtualMailbox:
    """The `Mailbox` of a process on a virtual network.

    Parameters
    ----------
    network : LinkNetwork
    reactor : EntryReactor
    address : str
    codec : Codec
    on_frame : callable
    tls_config : None, optional
    """

    def __init__(self, network, reactor, address, codec, on_frame, tls_config=None):
        self.address = address
        self.reactor = reactor
        self.on_frame = on_frame
        self.codec = codec
        self._network = network
        network.listen(self)

    def close(self):
        """Stop receiving."""
        self._network.mailbox_by_address.pop(self.address, None)


class LinkNetwork(Clock):
    """A network of processes, and the clock of all of them.

    Parameters
    ----------
    bytes_per_s : float, optional
        What each connection carries; by default any number.

    Attributes
    ----------
    mailbox_by_address : dict of str to VirtualMailbox
    opened, lost : int
        Connections opened, and frames lost.
    """

    def __init__(self, bytes_per_s=None):
        super().__init__()
        self.mailbox_by_address = {}
        self.opened = 0
        self.lost = 0
        self._bytes_per_s = bytes_per_s
        self._connections = []
        self._dialling = []

    def duration_s(self, data):
        """Return how long a connection takes to carry a frame, in seconds."""
        return len(data) / self._bytes_per_s if self._bytes_per_s else 0.0

    def process(self):
        """Return the reactor of a new process."""
        return EntryReactor(self)

    def sockets(self, address):
        """Return what a ``MessageTransport`` opens its sockets with.

        Parameters
        ----------
        address : str
            Address of the process's mailbox.

        Returns
        -------
        dict of str to callable
        """
        return {
            "open_outbox": partial(VirtualOutbox, self, address),
            "open_mailbox": partial(VirtualMailbox, self),
        }

    def listen(self, mailbox):
        """Open a mailbox, also to the processes that are dialling it.

        Parameters
        ----------
        mailbox : VirtualMailbox
        """
        self.mailbox_by_address[mailbox.address] = mailbox
        dialling, self._dialling = self._dialling, []
        for connection, reactor, established in dialling:
            self.opened -= 1
            self.connect(connection, reactor, established)

    def connect(self, connection, reactor, established):
        """Establish a connection once the other process runs.

        Parameters
        ----------
        connection : VirtualConnection
        reactor : EntryReactor
            Of the process that connects.
        established : callable
        """
        self.opened += 1
        self._connections.append(connection)
        mailbox = self.mailbox_by_address.get(connection.target)
        if mailbox is None:
            self._dialling.append((connection, reactor, established))
            return
        mailbox.reactor.callLater(ONE_WAY_S, reactor.callLater, ONE_WAY_S, established)

    def deliver(self, connection, data):
        """Deliver a frame to a mailbox.

        Parameters
        ----------
        connection : VirtualConnection
        data : bytes
        """
        mailbox = self.mailbox_by_address.get(connection.target)
        if mailbox is None:
            self.lost += 1
            return
        mailbox.reactor.callLater(0, self._receive, mailbox, data)

    def silence(self, addresses, direction=Direction.BOTH):
        """Silence the open connections of some nodes for good.

        Parameters
        ----------
        addresses : set of str
            Addresses of the nodes' mailboxes.
        direction : Direction, optional
        """
        for connection in self._connections:
            to_members = connection.source in addresses and direction is not Direction.TO_NODES
            to_nodes = connection.target in addresses and direction is not Direction.TO_MEMBERS
            connection.silent = connection.silent or to_members or to_nodes

    def _receive(self, mailbox, data):
        if self.mailbox_by_address.get(mailbox.address) is not mailbox:
            self.lost += 1
            return
        mailbox.on_frame(mailbox.codec.decode(data))
