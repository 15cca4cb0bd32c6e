"""Run the leader's periodic decision rounds."""

import logging

from twisted.internet.defer import gatherResults

from hemlockdock_control.membership.detector import MembershipView, membership_commands
from hemlockdock_control.orders import PendingOrders, inventory_commands
from hemlockdock_control.service.planner_view import build_view
from hemlockdock_core.commands import ExpireRecords
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

EXPIRE_INTERVAL_MS = 1_000
# Limits consecutive rounds that only record events, so that one node that keeps changing
# does not block placement for all others.
MAX_RECORD_ONLY_ROUNDS = 10


class LeaderRound:
    """Decide on membership, placement, orders and expiry while this member leads.

    A round starts only after all proposals of the previous round have completed, so that
    decisions are never based on a state without the previous decisions.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    machine : ClusterStateMachine
    planner : Planner
    proposer : Proposer
    volatile_state : VolatileState
    send : callable
        Takes an address and a message.
    """

    def __init__(self, settings, machine, planner, proposer, volatile_state, send):
        self._settings = settings
        self._machine = machine
        self._planner = planner
        self._proposer = proposer
        self._volatile_state = volatile_state
        self._send = send
        self._orders = PendingOrders(settings)
        self._leading_since_ms = 0.0
        self._expired_ms = 0.0
        self._busy = False
        self._record_only_rounds = 0

    def reset(self, now_ms):
        """Reset when this member becomes leader; the silence of nodes counts from now.

        Parameters
        ----------
        now_ms : float
            By the silence clock.
        """
        self._leading_since_ms = now_ms
        self._busy = False
        self._record_only_rounds = 0
        self._orders.clear_sent()

    def run(self, now_ms, at_ms):
        """Run one round, unless the previous one is still in progress.

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
        for addressed_order in self._orders.due(state, self._volatile_state.report_by_id, now_ms):
            COUNTERS.increment("control_orders_sent", order=type(addressed_order.order).__name__)
            self._send(addressed_order.address, addressed_order.order)

    def _commands(self, now_ms, at_ms):
        state = self._machine.state
        commands = membership_commands(
            MembershipView(
                state.nodes.record_by_id,
                self._volatile_state.heartbeats.heard_by_id,
                self._volatile_state.platform.state_by_host,
                self._leading_since_ms,
                self._volatile_state.silent_members(now_ms),
                now_ms,
                at_ms,
            ),
            self._settings.membership,
        )
        for report in self._volatile_state.report_by_id.values():
            commands.extend(inventory_commands(report, state, at_ms))
        if now_ms - self._expired_ms >= EXPIRE_INTERVAL_MS:
            self._expired_ms = now_ms
            if state.has_due(at_ms):
                commands.append(ExpireRecords(at_ms))
        self._record_only_rounds = self._record_only_rounds + 1 if commands else 0
        if commands and self._record_only_rounds <= MAX_RECORD_ONLY_ROUNDS:
            # Placement is decided once these commands are applied.
            return commands
        view = build_view(
            state, self._volatile_state.report_by_id, self._volatile_state.load_tracker, at_ms
        )
        return commands + self._planner.decide(view, at_ms)

    def _done(self, results, commands, now_ms):
        self._busy = False
        if not isinstance(results, list):
            logger.error("decision round failed", extra={"problem": str(results)})
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
