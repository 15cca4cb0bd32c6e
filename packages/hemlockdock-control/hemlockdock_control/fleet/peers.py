"""Handle commands and queries that other members relay to the leader."""

from functools import singledispatchmethod

from hemlockdock_control.service.peer_messages import (
    RelayedAnswer,
    RelayedCommand,
    RelayedQuery,
    decode_peer,
    encode_peer,
)
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS

ROUTES_QUERY = "routes"


class FleetPeers:
    """Commit commands and answer queries for other members while this member leads.

    Parameters
    ----------
    replicator : Replicator
    proposer : Proposer
    machine : ClusterStateMachine
    """

    def __init__(self, replicator, proposer, machine):
        self._replicator = replicator
        self._proposer = proposer
        self._machine = machine

    def read_document(self):
        """Return the routes document in force, read linearizably from the leader.

        Returns
        -------
        Deferred of bytes
            Compressed; fails if the leader cannot confirm that no later one was acknowledged.
        """
        if self._replicator.is_leader:
            read = self._replicator.read_barrier()
            return read.addCallback(lambda _: self._machine.state.routes.document)
        return self._proposer.query(ROUTES_QUERY, {}).addCallback(_payload)

    def on_forward(self, member_id, data):
        """Handle a message forwarded by another member.

        Parameters
        ----------
        member_id : str
        data : bytes
        """
        body = decode_peer(data)
        if body is None:
            return
        if isinstance(body, RelayedCommand | RelayedQuery) and not self._replicator.is_leader:
            self._answer(_no_leader(), body.ticket, member_id)
            return
        self._on_body(body, member_id)

    @singledispatchmethod
    def _on_body(self, body, member_id):
        COUNTERS.increment("control_unexpected_messages", message=type(body).__name__)

    @_on_body.register
    def _(self, body: RelayedCommand, member_id):
        outcome = self._proposer.commit(body.command)
        outcome.addCallback(self._answer, body.ticket, member_id)

    @_on_body.register
    def _(self, body: RelayedQuery, member_id):
        read = self.read_document()
        read.addCallbacks(lambda document: CommandResult(0, payload=document), _read_failed)
        read.addCallback(self._answer, body.ticket, member_id)

    @_on_body.register
    def _(self, body: RelayedAnswer, member_id):
        self._proposer.answer(body)

    def _answer(self, result, ticket, member_id):
        self._replicator.forwards.send_to_member(
            member_id, encode_peer(RelayedAnswer(ticket, result))
        )


def _payload(result):
    if result.refusal is not None:
        raise LookupError(result.refusal.message)
    return result.payload


def _no_leader():
    return CommandResult(0, Refusal.of(ErrorKind.NO_CONTROL, "this member does not lead"))


def _read_failed(failure):
    return CommandResult(0, Refusal.of(ErrorKind.NO_CONTROL, failure.getErrorMessage()))
