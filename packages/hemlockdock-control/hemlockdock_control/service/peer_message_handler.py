"""Handle messages forwarded by other members."""

from functools import singledispatchmethod

from hemlockdock_control.service.peer_messages import (
    BeatDigest,
    DigestAck,
    RelayedAnswer,
    RelayedCommand,
    RelayedMessage,
    RelayedQuery,
    decode_peer,
    encode_peer,
)
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS


class PeerMessageHandler:
    """Handle messages forwarded by other members.

    Parameters
    ----------
    replicator : Replicator
    proposer : Proposer
    node_message_handler : NodeMessageHandler
    pages : AdminPages
    leader_contact : LeaderContact
    """

    def __init__(self, replicator, proposer, node_message_handler, pages, leader_contact):
        self._replicator = replicator
        self._proposer = proposer
        self._node_handler = node_message_handler
        self._pages = pages
        self._leader_contact = leader_contact

    def on_forward(self, member_id, data):
        """Decode and handle a forwarded message.

        Parameters
        ----------
        member_id : str
        data : bytes
        """
        body = decode_peer(data)
        if body is None:
            return
        if not isinstance(body, RelayedAnswer | DigestAck) and not self._replicator.is_leader:
            self._refuse(body, member_id)
            return
        self._on_body(body, member_id)

    @singledispatchmethod
    def _on_body(self, body, member_id):
        raise TypeError(type(body).__name__)

    @_on_body.register
    def _(self, body: BeatDigest, member_id):
        self._node_handler.on_digest(member_id, body.beats)
        self._replicator.forwards.send_to_member(member_id, encode_peer(DigestAck(body.sequence)))

    @_on_body.register
    def _(self, body: DigestAck, member_id):
        self._leader_contact.record_ack(body.sequence)

    @_on_body.register
    def _(self, body: RelayedMessage, member_id):
        self._node_handler.on_relayed(body)

    @_on_body.register
    def _(self, body: RelayedCommand, member_id):
        outcome = self._proposer.commit(body.command)
        outcome.addCallback(self._answer, body.ticket, member_id)

    @_on_body.register
    def _(self, body: RelayedQuery, member_id):
        outcome = self._pages.consistent_page(body.name, body.arguments)
        outcome.addCallback(self._answer, body.ticket, member_id)

    @_on_body.register
    def _(self, body: RelayedAnswer, member_id):
        self._proposer.answer(body)

    def _refuse(self, body, member_id):
        COUNTERS.increment("control_forwards_refused")
        if isinstance(body, RelayedCommand | RelayedQuery):
            refusal = Refusal.of(ErrorKind.NO_CONTROL, "this member does not lead")
            self._answer(CommandResult(0, refusal), body.ticket, member_id)

    def _answer(self, result, ticket, member_id):
        self._replicator.forwards.send_to_member(
            member_id, encode_peer(RelayedAnswer(ticket, result))
        )
