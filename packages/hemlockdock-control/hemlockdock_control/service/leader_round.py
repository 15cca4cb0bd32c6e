"""Make a leader's decisions, round by round."""

import logging

from twisted.internet.defer import gatherResults

from hemlockdock_control.membership.detector import MembershipView, membership_commands
from hemlockdock_control.orders import PendingOrders, inventory_commands
from hemlockdock_control.service.planner_view import build_view
from hemlockdock_core.commands import ExpireRecords
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

EXPIRE_EVERY_MS = 1_000
# Rounds in a row that only record what happened; one node that keeps changing must not keep
# all others from being decided for.
MAX_REPAIRS = 10


class LeaderRound:
    """Decide while this member leads: membership, placement, orders, expiry.

    A round begins only once everything that the one before proposed has ended, so that no
    decision is made from a state that lacks the last ones.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    machine : ClusterMachine
    planner : Planner
    proposer : Proposer
    volatile : Volatile
    send : callable
        Takes an address and a message.
    """

    def __init__(self, settings, machine, planner, proposer, volatile, send):
        self._settings = settings
        self._machine = machine
        self._planner = planner
        self._proposer = proposer
        self._volatile = volatile
        self._send = send
        self._orders = PendingOrders(settings)
        self._silent_since_ms = 0.0
        self._expired_ms = 0.0
        self._busy = False
        self._repairs = 0

    def begin(self, now_ms):
        """Start to lead; silence of nodes counts from now.

        Parameters
        ----------
        now_ms : float
            By the silence clock.
        """
        self._silent_since_ms = now_ms
        self._busy = False
        self._repairs = 0
        self._orders.reset()

    def run(self, now_ms, at_ms):
        """Make one round, unless the one before has not ended.

        Parameters
        ----------
        now_ms : float
            By the silence clock.
        at_ms : int
            Wall clock, in milliseconds since 1970.
        """
        self.send_orders(now_ms)
        if self._busy:
            COUNTERS.increment("control_rounds_skipped")
            return
        commands = self._commands(now_ms, at_ms)
        if not commands:
            return
        self._busy = True
        outcomes = [self._proposer.commit(command) for command in commands]
        gatherResults(outcomes).addBoth(self._done, commands, now_ms)

    def send_orders(self, now_ms):
        """Send the orders that are due.

        Parameters
        ----------
        now_ms : float
        """
        state = self._machine.state
        for letter in self._orders.due(state, self._volatile.report_by_id, now_ms):
            COUNTERS.increment("control_orders_sent", order=type(letter.order).__name__)
            self._send(letter.address, letter.order)

    def _commands(self, now_ms, at_ms):
        state = self._machine.state
        commands = membership_commands(
            MembershipView(
                state.nodes.record_by_id,
                self._volatile.beats.heard_by_id,
                self._volatile.platform.state_by_host,
                self._silent_since_ms,
                self._volatile.silent_members(now_ms),
                now_ms,
                at_ms,
            ),
            self._settings.membership,
        )
        for report in self._volatile.report_by_id.values():
            commands.extend(inventory_commands(report, state, at_ms))
        if now_ms - self._expired_ms >= EXPIRE_EVERY_MS:
            self._expired_ms = now_ms
            if state.has_due(at_ms):
                commands.append(ExpireRecords(at_ms))
        self._repairs = self._repairs + 1 if commands else 0
        if commands and self._repairs <= MAX_REPAIRS:
            # Placement waits for a state in which these are applied.
            return commands
        view = build_view(state, self._volatile.report_by_id, self._volatile.board, at_ms)
        return commands + self._planner.decide(view, at_ms)

    def _done(self, results, commands, now_ms):
        self._busy = False
        if not isinstance(results, list):
            logger.error("round failed", extra={"problem": str(results)})
            return
        for command, result in zip(commands, results, strict=True):
            name = type(command).__name__
            if result.refusal is None:
                COUNTERS.increment("control_decisions", command=name)
                continue
            COUNTERS.increment("control_decisions_refused", command=name)
            logger.info(
                "decision refused",
                extra={"command": name, "problem": result.refusal.message},
            )
        self.send_orders(now_ms)
