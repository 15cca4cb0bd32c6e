"""Sending and receiving of a process's frames."""

from hemlockdock_core.links.link_tls import check_scheme
from hemlockdock_core.links.mailbox import Mailbox
from hemlockdock_core.links.outbox import Outbox
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.settings.types import check_link


class MessageTransport:
    """A process's mailbox and its outboxes, one for each peer address.

    Parameters
    ----------
    reactor : twisted reactor
    node_id : str
    incarnation : int
    codec : Codec
    listen : str
        Address to listen at.
    on_frame : callable
        Takes a Frame.
    tls : LinkTls, optional
        None for plain TCP.
    open_outbox, open_mailbox : callable, optional
        Open the sockets; tests replace them.
    """

    def __init__(
        self,
        reactor,
        node_id,
        incarnation,
        codec,
        listen,
        on_frame,
        tls=None,
        open_outbox=Outbox,
        open_mailbox=Mailbox,
    ):
        self.node_id = node_id
        self.incarnation = incarnation
        self._reactor = reactor
        self._codec = codec
        self._tls = tls
        self._open_outbox = open_outbox
        self._outbox_by_address = {}
        check_scheme(listen, tls)
        server_config = tls.server_config() if tls else None
        self._mailbox = open_mailbox(reactor, listen, codec, on_frame, server_config)

    @property
    def address(self):
        """Return the mailbox's address."""
        return self._mailbox.address

    def send(self, address, message):
        """Send a message to a peer's mailbox.

        Parameters
        ----------
        address : str
        message : Message

        Raises
        ------
        ValueError
            If the address is not a link address, or its scheme does not match the TLS settings.
        """
        frame = Frame(PROTOCOL_VERSION, self.node_id, self.incarnation, self.address, message)
        self._outbox(address).send(self._codec.encode(frame))

    def forget(self, address):
        """Close the outbox of a peer that is gone.

        Parameters
        ----------
        address : str
        """
        outbox = self._outbox_by_address.pop(address, None)
        if outbox is not None:
            outbox.close()

    def close(self):
        """Close the mailbox and every outbox."""
        self._mailbox.close()
        for outbox in self._outbox_by_address.values():
            outbox.close()
        self._outbox_by_address.clear()

    def _outbox(self, address):
        outbox = self._outbox_by_address.get(address)
        if outbox is None:
            if not address:
                raise ValueError("expected a link address, got an empty one")
            check_link(address)
            check_scheme(address, self._tls)
            client_config = self._tls.client_config(address) if self._tls else None
            outbox = self._open_outbox(self._reactor, address, client_config)
            self._outbox_by_address[address] = outbox
        return outbox
