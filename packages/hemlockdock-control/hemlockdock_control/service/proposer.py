"""Commit commands from any member, through the leader."""

import secrets

import msgspec
from twisted.internet.defer import Deferred, succeed

from hemlockdock_control.consensus import NotLeaderError
from hemlockdock_control.service.peer_messages import RelayedCommand, RelayedQuery, encode_peer
from hemlockdock_control.state import encode_command
from hemlockdock_core.commands import CommandResult, ReadJob
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.wall_clock import wall_ms

# Nodes repeat unanswered proposals, so their relays time out early; operators do not repeat.
NODE_RELAY_TIMEOUT_S = 1.0
OPERATOR_RELAY_TIMEOUT_S = 10.0
MAX_IN_FLIGHT = 4_096
TICKET_BYTES = 16


class Proposer:
    """Commit commands through the replicated log, or relay them to the leader.

    Every Deferred fires with a CommandResult; a failure is reported in its refusal.

    Parameters
    ----------
    reactor : twisted reactor
    replicator : Replicator
    machine : ClusterStateMachine
    read_wall_ms : callable, optional
        Returns the wall-clock time for the timestamps of commands.
    """

    def __init__(self, reactor, replicator, machine, read_wall_ms=wall_ms):
        self._reactor = reactor
        self._replicator = replicator
        self._machine = machine
        self._wall_ms = read_wall_ms
        self._waiting_by_ticket = {}
        self._in_flight = 0

    def propose(self, command, timeout_s=NODE_RELAY_TIMEOUT_S):
        """Commit a command.

        Parameters
        ----------
        command : Command
        timeout_s : float, optional
            How long to wait for the leader's answer if another member leads.

        Returns
        -------
        Deferred of CommandResult
        """
        if self._replicator.is_leader:
            return self.commit(command)
        return self._relay(lambda ticket: RelayedCommand(ticket, command), timeout_s)

    def query(self, name, arguments):
        """Request a page from the leader.

        Parameters
        ----------
        name : str
        arguments : dict of str to str

        Returns
        -------
        Deferred of CommandResult
            With the page's JSON as payload.
        """
        return self._relay(
            lambda ticket: RelayedQuery(ticket, name, arguments), OPERATOR_RELAY_TIMEOUT_S
        )

    def commit(self, command):
        """Commit a command as the leader, with the leader's time as timestamp.

        Parameters
        ----------
        command : Command

        Returns
        -------
        Deferred of CommandResult
        """
        if self._in_flight >= MAX_IN_FLIGHT:
            return succeed(_refused(ErrorKind.RATE_LIMITED, "too many commands in flight"))
        self._in_flight += 1
        if isinstance(command, ReadJob):
            outcome = self._replicator.read_barrier()
            outcome.addCallback(lambda _: self._machine.state.read_job(command))
        else:
            outcome = self._replicator.propose(encode_command(self._stamped(command)))
        outcome.addErrback(_failed)
        outcome.addBoth(self._release_slot)
        return outcome

    def answer(self, answer):
        """Handle the leader's answer to a relayed request.

        Parameters
        ----------
        answer : RelayedAnswer
        """
        waiting = self._waiting_by_ticket.pop(answer.ticket, None)
        if waiting is None:
            COUNTERS.increment("control_late_answers")
            return
        waiting.callback(answer.result)

    def cancel_pending(self):
        """Complete all requests that wait for the leader with an unknown outcome."""
        for waiting in list(self._waiting_by_ticket.values()):
            waiting.cancel()

    def _relay(self, make_message, timeout_s):
        if not self._replicator.leader_id or self._replicator.is_leader:
            return succeed(_refused(ErrorKind.NO_CONTROL, "no leader is known"))
        if len(self._waiting_by_ticket) >= MAX_IN_FLIGHT:
            return succeed(_refused(ErrorKind.RATE_LIMITED, "too many commands in flight"))
        ticket = secrets.token_hex(TICKET_BYTES)
        waiting = Deferred()
        self._waiting_by_ticket[ticket] = waiting
        waiting.addTimeout(timeout_s, self._reactor)
        waiting.addErrback(lambda _: self._timed_out(ticket))
        self._replicator.forwards.send_to_leader(encode_peer(make_message(ticket)))
        return waiting

    def _timed_out(self, ticket):
        self._waiting_by_ticket.pop(ticket, None)
        return _refused(ErrorKind.OUTCOME_UNKNOWN, "the leader did not answer in time")

    def _stamped(self, command):
        at_ms = getattr(command, "at_ms", None)
        if at_ms is None:
            return command
        now_ms = max(self._wall_ms(), self._machine.state.now_ms, 1)
        return msgspec.structs.replace(command, at_ms=now_ms)

    def _release_slot(self, result):
        self._in_flight -= 1
        return result


def _failed(failure):
    if failure.check(NotLeaderError):
        return _refused(ErrorKind.NO_CONTROL, "this member does not lead")
    COUNTERS.increment("control_unknown_outcomes")
    return _refused(ErrorKind.OUTCOME_UNKNOWN, "the command may or may not be committed")


def _refused(kind, message):
    return CommandResult(0, Refusal.of(kind, message))
