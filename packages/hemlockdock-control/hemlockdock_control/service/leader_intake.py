"""Take in, as the leader, what nodes report."""

from functools import singledispatchmethod

from hemlockdock_control.orders import InventoryReport, outcome_commands
from hemlockdock_core.commands import NodeLeaving, RecordCrash
from hemlockdock_core.messages import CrashReport, Inventory, Leaving, OrderResult, Wish
from hemlockdock_core.metrics import COUNTERS

MAX_FINGERPRINTS = 1_024


class LeaderIntake:
    """Take in, as the leader, what nodes report, here or by way of another member.

    Parameters
    ----------
    machine : ClusterMachine
    proposer : Proposer
    volatile : Volatile
    wall_ms : callable
    learn : callable
        Takes an OrderResult before what it changes is committed.
    """

    def __init__(self, machine, proposer, volatile, wall_ms, learn):
        self._machine = machine
        self._proposer = proposer
        self._volatile = volatile
        self._wall_ms = wall_ms
        self._learn = learn

    @singledispatchmethod
    def take(self, body, sender, incarnation):
        """Take in a message.

        Parameters
        ----------
        body : Relayed
        sender : str
        incarnation : int
        """
        COUNTERS.increment("control_unexpected_messages", message=type(body).__name__)

    @take.register
    def _(self, body: Wish, sender, incarnation):
        self._volatile.board.wish(sender, body, self._wall_ms())

    @take.register
    def _(self, body: OrderResult, sender, incarnation):
        report = self._volatile.report_by_id.get(sender)
        if report is not None and report.incarnation == incarnation:
            report = report.without_unloaded(body, self._machine.state)
            self._volatile.report_by_id[sender] = report
        self._learn(body)
        commands = outcome_commands(body, sender, incarnation, self._machine.state, self._wall_ms())
        for command in commands:
            self._proposer.commit(command)

    @take.register
    def _(self, body: Inventory, sender, incarnation):
        report = InventoryReport(sender, incarnation, self._machine.state.index, body)
        if report.supersedes(self._volatile.report_by_id.get(sender)):
            self._volatile.report_by_id[sender] = report

    @take.register
    def _(self, body: Leaving, sender, incarnation):
        node = self._machine.state.nodes.record_by_id.get(body.node_id)
        if body.node_id != sender or node is None or node.incarnation != incarnation:
            return
        if not node.leaving:
            self._proposer.commit(NodeLeaving(sender, self._wall_ms(), "agent"))

    @take.register
    def _(self, body: CrashReport, sender, incarnation):
        fingerprints = body.fingerprints[:MAX_FINGERPRINTS]
        command = RecordCrash(body.crash_id, sender, fingerprints, self._wall_ms())
        self._proposer.commit(command)
