"""Sending and receiving of a process's frames."""

import logging
import random
from functools import singledispatchmethod

import pynng

from hemlockdock_core.links.delivery import RENEW_AFTER_S
from hemlockdock_core.links.frame_number import first_number, session_of
from hemlockdock_core.links.link_tls import check_scheme
from hemlockdock_core.links.link_watch import LinkWatch
from hemlockdock_core.links.mailbox import Mailbox
from hemlockdock_core.links.outbox import Outbox
from hemlockdock_core.links.peer import Peer
from hemlockdock_core.links.renewal_budget import RenewalBudget
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.messages.link import LinkAck, LinkProbe
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.settings.types import check_link

logger = logging.getLogger(__name__)


class MessageTransport:
    """A process's mailbox and its connections to peers, which it renews if nothing is answered.

    A process sends to a peer over a connection of its own, and is answered over one of the peer's.
    Either may stop delivering without being closed. The process that waits for an answer renews its
    connection and asks the peer to do the same; `Delivery` decides when.

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
    advertised : str, optional
        Address at which peers reach the mailbox; by default the one to listen at.
    random_source : random.Random, optional
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
        advertised="",
        random_source=None,
        open_outbox=Outbox,
        open_mailbox=Mailbox,
    ):
        self.node_id = node_id
        self.incarnation = incarnation
        self._reactor = reactor
        self._codec = codec
        self._on_frame = on_frame
        self._tls = tls
        self._advertised = advertised
        self._peer_by_address = {}
        self._open_outbox = open_outbox
        self._session_number = first_number(random_source or random.SystemRandom())
        self._last_number = self._session_number
        self._renewal_budget = RenewalBudget.of(reactor)
        self._watch = LinkWatch(reactor, self._probe, self._renew_unanswered)
        check_scheme(listen, tls)
        server_config = tls.server_config() if tls else None
        self._mailbox = open_mailbox(reactor, listen, codec, self._receive, server_config)

    @property
    def address(self):
        """Return the address at which peers reach the mailbox."""
        return self._advertised or self._mailbox.address

    def send(self, address, message):
        """Send a message to a peer's mailbox.

        Parameters
        ----------
        address : str
        message : Message or msgspec.Raw
            An encoded message expects no answer.

        Raises
        ------
        ValueError
            If the address is not a link address, or its scheme does not match the TLS settings.
        """
        peer = self._connected_peer(address)
        self._last_number += 1
        data = self._encode(peer, message, self._last_number)
        expects_answer = getattr(message, "expects_answer", False)
        now_s = self._reactor.seconds()
        peer.delivery.record_sent(self._last_number, data, expects_answer, now_s)
        if not peer.delivery.holds:
            peer.outbox.send(data)
        self._watch.add(peer)

    def disconnect(self, address):
        """Close the outbox of a peer that is not asked for now; the next send opens a new one.

        What the peer has not received is dropped; what it sent stays known.

        Parameters
        ----------
        address : str
        """
        peer = self._peer_by_address.get(address)
        if peer is None or peer.outbox is None:
            return
        self._watch.remove(peer)
        peer.delivery.stop_waiting()
        peer.outbox.close()
        peer.outbox = None

    def disconnect_idle(self, idle_s):
        """Close the outboxes of peers to which nothing was sent for a while, and that owe nothing.

        Parameters
        ----------
        idle_s : float
        """
        now_s = self._reactor.seconds()
        for address, peer in self._peer_by_address.items():
            if not peer.delivery.is_waiting and now_s - peer.used_s >= idle_s:
                self.disconnect(address)

    def forget(self, address):
        """Close the outbox of a peer that is gone, and forget the peer.

        Parameters
        ----------
        address : str
        """
        self.disconnect(address)
        self._peer_by_address.pop(address, None)

    def close(self):
        """Close the mailbox and every outbox."""
        self._mailbox.close()
        self._watch.stop()
        for address in list(self._peer_by_address):
            self.forget(address)

    def _receive(self, frame):
        if not frame.reply_to:
            self._on_frame(frame)
            return
        peer = self._peer(frame.reply_to)
        if session_of(frame.received) == session_of(self._session_number):
            peer.delivery.acknowledge(frame.received)
        if isinstance(frame.body, LinkProbe | LinkAck):
            peer.delivery.record_session(frame.number, self._reactor.seconds())
            self._handle(frame.body, peer)
            return
        if not peer.delivery.record_received(frame.number, self._reactor.seconds()):
            COUNTERS.increment("link_frames_repeated")
            return
        self._on_frame(frame)

    @singledispatchmethod
    def _handle(self, body, peer):
        raise TypeError(f"expected a message about a connection, got {type(body).__name__}")

    @_handle.register
    def _(self, body: LinkProbe, peer):
        self._connected_peer(peer.address)
        if body.renew and self._may_be_silent(peer) and self._renewal_budget.take():
            self._log("connection renewed, as the peer got no answers", peer)
            self._renew(peer, renew_other=False)
        self._send_link_message(peer, LinkAck(body.probe))

    @_handle.register
    def _(self, body: LinkAck, peer):
        if peer.delivery.holds and body.probe == peer.probe:
            self._log("peer answers again", peer)
            self._resend(peer)

    def _may_be_silent(self, peer):
        """Tell whether a connection is neither new nor seen to deliver frames."""
        now_s = self._reactor.seconds()
        if now_s - peer.opened_s < RENEW_AFTER_S or peer.outbox.is_moving:
            return False
        return not peer.delivery.retained.is_long_transfer(now_s)

    def _renew_unanswered(self, peer):
        delivery = peer.delivery
        if not delivery.is_known and not peer.outbox.is_connected:
            # The peer may not listen yet. The socket goes on dialling, and keeps its queue.
            return
        if peer.outbox.is_moving or delivery.retained.is_long_transfer(self._reactor.seconds()):
            return
        if not self._renewal_budget.take():
            return
        if not delivery.holds:
            self._log("connection without answers renewed", peer)
        self._renew(peer, renew_other=not delivery.is_heard(self._reactor.seconds()))

    def _renew(self, peer, renew_other):
        replaced = peer.outbox
        try:
            self._open(peer)
        except pynng.NNGException as error:
            logger.warning(
                "connection not renewed", extra={"peer": peer.address, "problem": str(error)}
            )
            return
        COUNTERS.increment("link_renewals")
        replaced.close()
        peer.delivery.hold(self._reactor.seconds())
        self._send_probe(peer, renew_other)
        self._watch.add(peer)

    def _log(self, event, peer):
        unanswered_s = round(peer.delivery.unanswered_s(self._reactor.seconds()), 3)
        logger.info(event, extra={"peer": peer.address, "unanswered_s": unanswered_s})

    def _resend(self, peer):
        if peer.delivery.retained.not_retained:
            COUNTERS.increment("link_frames_not_retained", peer.delivery.retained.not_retained)
        for frame in peer.delivery.release(self._reactor.seconds()):
            COUNTERS.increment("link_frames_resent")
            peer.outbox.send(frame.data)
        self._watch.add(peer)

    def _probe(self, peer):
        self._send_probe(peer, renew=False)

    def _send_probe(self, peer, renew):
        peer.probe += 1
        self._send_link_message(peer, LinkProbe(peer.probe, renew))

    def _send_link_message(self, peer, message):
        peer.outbox.send(self._encode(peer, message, self._session_number))

    def _encode(self, peer, message, number):
        frame = Frame(
            PROTOCOL_VERSION,
            self.node_id,
            self.incarnation,
            self.address,
            message,
            number,
            peer.delivery.received,
        )
        return self._codec.encode(frame)

    def _peer(self, address):
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = Peer(address)
            self._peer_by_address[address] = peer
        return peer

    def _connected_peer(self, address):
        if not address:
            raise ValueError("expected a link address, got an empty one")
        peer = self._peer(address)
        peer.used_s = self._reactor.seconds()
        if peer.outbox is None:
            check_link(address)
            check_scheme(address, self._tls)
            self._open(peer)
        return peer

    def _open(self, peer):
        client_config = self._tls.client_config(peer.address) if self._tls else None
        peer.outbox = self._open_outbox(self._reactor, peer.address, client_config)
        peer.opened_s = self._reactor.seconds()
