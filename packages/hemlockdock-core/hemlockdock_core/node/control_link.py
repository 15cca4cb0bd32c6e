"""Keep a node joined to control."""

import logging
from functools import singledispatchmethod

from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.messages import (
    Heartbeat,
    HeartbeatAck,
    ProposalResult,
    TableChunk,
    TableDelta,
    WatchTable,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node.member_choice import MemberChoice
from hemlockdock_core.node.pending_proposals import PendingProposals
from hemlockdock_core.node.table_copy import TableCopy
from hemlockdock_core.repeating import Repeating

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
SILENT_HEARTBEATS = 3
# In a fleet, any member can tell where the leader is; they are all asked after this.
QUIET_HEARTBEATS = 1.2
# A node of a fleet that knows no leader, or whose leader is quiet, asks this often: everything that
# it serves waits for the answer.
SEEK_S = 0.2
PROPOSAL_REPEAT_S = 0.4
TICK_S = 0.1
MOST_UNACKNOWLEDGED = 256
# What entries share is parted among so many before control has told how many there are.
ASSUMED_ENTRIES = 8


class ControlLink:
    """Keep a node joined to control.

    It sends heartbeats to one control member and moves to the next when that one is silent,
    watches the routing table and repairs gaps, and repeats proposals until they are answered.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    message_transport : MessageTransport
    info : NodeInfo
    on_table : callable, optional
        Called without arguments after each change of the table.

    Attributes
    ----------
    incarnation : int
    entries : int
        Most entries that were ever told to be alive, or assumed to be before that.
    """

    def __init__(self, reactor, settings, message_transport, info, on_table=None):
        self._reactor = reactor
        self._settings = settings
        self._transport = message_transport
        self._info = info
        self._on_table = on_table
        self._copy = TableCopy()
        self._leaving = False
        self._watches = True
        self._sequence = 0
        self._info_known = False
        self._fresh_s = None
        self._beat_s = 0.0
        self._changed_load_by_model = {}
        self._sent_loads_by_sequence = {}
        self._sent_s_by_sequence = {}
        self._heartbeat_s = settings.membership.heartbeat_ms / MS_PER_S
        self._choice = MemberChoice(
            settings.members,
            info.node_id,
            SILENT_HEARTBEATS * self._heartbeat_s,
            reactor.seconds(),
        )
        self.incarnation = message_transport.incarnation
        self.entries = ASSUMED_ENTRIES
        self._proposals = PendingProposals(f"{info.node_id}-{self.incarnation}", PROPOSAL_REPEAT_S)
        self._heartbeats = Repeating(reactor, self._beat_regularly)
        self._ticks = Repeating(reactor, self._tick)

    @property
    def table(self):
        """Return the node's RoutingTable; its rows change in place."""
        return self._copy.table

    @property
    def fresh(self):
        """Tell whether control was heard within ``membership.stale_after_ms``."""
        if self._fresh_s is None:
            return False
        limit_s = self._settings.membership.stale_after_ms / MS_PER_S
        return self._reactor.seconds() - self._fresh_s <= limit_s

    @property
    def silent_s(self):
        """Return the seconds since the latest acknowledged heartbeat was sent, None if none was."""
        if self._fresh_s is None:
            return None
        return self._reactor.seconds() - self._fresh_s

    def start(self, watch=True):
        """Join control.

        Parameters
        ----------
        watch : bool, optional
            Whether the node needs the routing table.
        """
        self._watches = watch
        self._heartbeats.start(self._heartbeat_s)
        self._ticks.start(TICK_S, now=False)

    def stop(self):
        """Stop heartbeats and give up all proposals."""
        self._heartbeats.stop()
        self._ticks.stop()
        self._proposals.close()

    def send(self, message):
        """Send a message to the current control member.

        Parameters
        ----------
        message : Message
        """
        self._transport.send(self._choice.current.node_address, message)

    def propose(self, command, timeout_ms):
        """Ask for a command to be committed.

        Parameters
        ----------
        command : Command
        timeout_ms : int

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires with a CommandResult, or fails with ControlUnavailableError where the outcome
            is unknown.
        """
        now_s = self._reactor.seconds()
        proposal, answered = self._proposals.add(command, now_s, timeout_ms / MS_PER_S)
        self.send(proposal)
        return answered

    def report_load(self, load):
        """Report a model's traffic with the next heartbeat.

        Parameters
        ----------
        load : ModelLoad
        """
        self._changed_load_by_model[load.model] = load

    def set_leaving(self):
        """Tell control that this node takes no new work."""
        self._leaving = True
        self._beat()

    def handle(self, frame):
        """Take a frame if it is control's.

        Parameters
        ----------
        frame : Frame

        Returns
        -------
        bool
            Whether the frame was taken.
        """
        return self._take(frame.body, frame)

    @singledispatchmethod
    def _take(self, body, frame):
        return False

    @_take.register
    def _(self, body: HeartbeatAck, frame):
        now_s = self._reactor.seconds()
        self._choice.heard(frame.sender, now_s)
        self._info_known = body.known
        # A new leader hears of the entries one after the other: never too few are assumed.
        self.entries = max(self.entries, body.entries)
        if body.members and self._choice.learn(body.members, body.leader_address, now_s):
            self._moved()
        # Counted from the sending: control's own count of silence starts later than that, also
        # where the acknowledgement was long on its way.
        sent_s = self._sent_s_by_sequence.get(body.sequence)
        self._forget_sent_loads(body.sequence)
        if body.fresh and sent_s is not None:
            self._fresh_s = max(sent_s, self._fresh_s or sent_s)
        if body.table_revision > self._copy.table.revision:
            self._watch()
        return True

    @_take.register
    def _(self, body: TableChunk, frame):
        self._choice.heard(frame.sender, self._reactor.seconds())
        if self._copy.take_chunk(body):
            self._table_changed()
        return True

    @_take.register
    def _(self, body: TableDelta, frame):
        self._choice.heard(frame.sender, self._reactor.seconds())
        changed = self._copy.take_delta(body)
        if changed is None:
            COUNTERS.increment("table_gaps")
            self._watch()
        elif changed:
            self._table_changed()
        return True

    @_take.register
    def _(self, body: ProposalResult, frame):
        refusal = body.result.refusal
        if refusal is not None and refusal.kind is ErrorKind.NO_CONTROL:
            # The member found no leader; the proposal is repeated until its time is over.
            return True
        self._proposals.answer(body)
        return True

    def learn_seeds(self, settings):
        """Take in newer settings of where control is.

        Parameters
        ----------
        settings : Settings
        """
        self._choice.learn_seeds(settings.members)

    def _beat_regularly(self):
        # A node that seeks the leader may just have asked everyone.
        if not self._sequence or self._reactor.seconds() - self._beat_s >= SEEK_S / 2:
            self._beat()

    def _beat(self):
        silent = self._choice.current
        if self._choice.check(self._reactor.seconds()):
            # The connection may have gone silent for good; a new one is made when it is needed.
            self._transport.forget(silent.node_address)
            self._moved()
        self._beat_s = self._reactor.seconds()
        self._sequence += 1
        loads = list(self._changed_load_by_model.values())
        self._sent_loads_by_sequence[self._sequence] = loads
        self._sent_s_by_sequence[self._sequence] = self._reactor.seconds()
        self._sent_s_by_sequence.pop(self._sequence - MOST_UNACKNOWLEDGED, None)
        epoch, revision = self._copy.position
        heartbeat = Heartbeat(
            self._sequence,
            epoch,
            revision,
            self._leaving,
            None if self._info_known else self._info,
            loads,
        )
        # The first one goes to one member: mostly a leader is there.
        if self._sequence == 1 or not self._seeks_leader():
            self.send(heartbeat)
            return
        for member in self._choice.all:
            self._transport.send(member.node_address, heartbeat)

    def _seeks_leader(self):
        """Tell whether every member is asked where the leader is: none is known, or it is quiet."""
        if not self._settings.in_fleet:
            return False
        if self._fresh_s is None:
            return True
        return self._choice.is_quiet(self._reactor.seconds(), QUIET_HEARTBEATS * self._heartbeat_s)

    def _moved(self):
        logger.info("control member chosen", extra={"member": self._choice.current.member_id})
        COUNTERS.increment("control_member_changes")
        self._info_known = False
        self._watch()
        for proposal in self._proposals.all():
            self.send(proposal)

    def _tick(self):
        for proposal in self._proposals.due(self._reactor.seconds()):
            self.send(proposal)
        if self._copy.table.revision == 0:
            self._watch()
        if self._seeks_leader() and self._reactor.seconds() - self._beat_s >= SEEK_S - TICK_S / 2:
            self._beat()

    def _watch(self):
        if not self._watches:
            return
        epoch, revision = self._copy.position
        self.send(WatchTable(epoch, revision))

    def _forget_sent_loads(self, sequence):
        for load in self._sent_loads_by_sequence.pop(sequence, ()):
            if self._changed_load_by_model.get(load.model) == load:
                del self._changed_load_by_model[load.model]
        for older in [key for key in self._sent_loads_by_sequence if key < sequence]:
            del self._sent_loads_by_sequence[older]
        for older in [key for key in self._sent_s_by_sequence if key <= sequence]:
            del self._sent_s_by_sequence[older]

    def _table_changed(self):
        if self._on_table is not None:
            self._on_table()
