"""Handle node messages on the leader."""

from functools import singledispatchmethod

from hemlockdock_control.orders import InventoryReport, outcome_commands
from hemlockdock_core.commands import NodeLeaving, RecordCrash
from hemlockdock_core.messages import CrashReport, Inventory, Leaving, OrderResult, Wish
from hemlockdock_core.metrics import COUNTERS

MAX_FINGERPRINTS = 1_024


class LeaderMessageHandler:
    """Handle node messages on the leader, received directly or relayed by another member.

    Parameters
    ----------
    machine : ClusterStateMachine
    proposer : Proposer
    volatile_state : VolatileState
    wall_ms : callable
    on_order_result : callable
        Takes an OrderResult before its commands are committed.
    """

    def __init__(self, machine, proposer, volatile_state, wall_ms, on_order_result):
        self._machine = machine
        self._proposer = proposer
        self._volatile_state = volatile_state
        self._wall_ms = wall_ms
        self._on_order_result = on_order_result

    @singledispatchmethod
    def handle(self, body, sender, incarnation):
        """Handle a message from a node.

        Parameters
        ----------
        body : Relayed
        sender : str
        incarnation : int
        """
        COUNTERS.increment("control_unexpected_messages", message=type(body).__name__)

    @handle.register
    def _(self, body: Wish, sender, incarnation):
        self._volatile_state.load_tracker.record_wish(sender, body, self._wall_ms())

    @handle.register
    def _(self, body: OrderResult, sender, incarnation):
        report = self._volatile_state.report_by_id.get(sender)
        if report is not None and report.incarnation == incarnation:
            report = report.without_unloaded(body, self._machine.state)
            self._volatile_state.report_by_id[sender] = report
        self._on_order_result(body)
        commands = outcome_commands(body, sender, incarnation, self._machine.state, self._wall_ms())
        for command in commands:
            self._proposer.commit(command)

    @handle.register
    def _(self, body: Inventory, sender, incarnation):
        report = InventoryReport(sender, incarnation, self._machine.state.index, body)
        if report.supersedes(self._volatile_state.report_by_id.get(sender)):
            self._volatile_state.report_by_id[sender] = report

    @handle.register
    def _(self, body: Leaving, sender, incarnation):
        node = self._machine.state.nodes.record_by_id.get(body.node_id)
        if body.node_id != sender or node is None or node.incarnation != incarnation:
            return
        if not node.leaving:
            self._proposer.commit(NodeLeaving(sender, self._wall_ms(), "agent"))

    @handle.register
    def _(self, body: CrashReport, sender, incarnation):
        fingerprints = body.fingerprints[:MAX_FINGERPRINTS]
        command = RecordCrash(body.crash_id, sender, fingerprints, self._wall_ms())
        self._proposer.commit(command)
