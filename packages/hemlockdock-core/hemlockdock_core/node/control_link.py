"""Connection of a node to control."""

import logging
from functools import singledispatchmethod

from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.messages import (
    Heartbeat,
    HeartbeatAck,
    ProposalResult,
    TableChunk,
    TableDelta,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node.control_contact import ControlContact
from hemlockdock_core.node.leader_search import SEARCH_INTERVAL_S, LeaderSearch
from hemlockdock_core.node.load_reports import LoadReports
from hemlockdock_core.node.member_selector import MemberSelector
from hemlockdock_core.node.proposal_tracker import ProposalTracker
from hemlockdock_core.node.table_subscription import TableSubscription
from hemlockdock_core.periodic_call import PeriodicCall

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
PROPOSAL_RETRY_S = 0.4
TICK_INTERVAL_S = 0.1


class ControlLink:
    """The connection of a node to control.

    It sends heartbeats to one control member and selects the next one when that member is silent.
    It keeps a copy of the routing table, requests changes that it missed, and resends proposals
    until they are answered.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    message_transport : MessageTransport
    info : NodeInfo
    on_table : callable, optional
        Called without arguments after each change of the routing table.

    Attributes
    ----------
    incarnation : int
    contact : ControlContact
    """

    def __init__(self, reactor, settings, message_transport, info, on_table=None):
        self._reactor = reactor
        self._settings = settings
        self._transport = message_transport
        self._info = info
        self._subscription = TableSubscription(self.send, on_table)
        self._loads = LoadReports()
        self._leaving = False
        self._sequence = 0
        self._info_known = False
        self._keeps_stream_origins = False
        self._heartbeat_sent_s = 0.0
        self._heartbeat_s = settings.membership.heartbeat_ms / MS_PER_S
        self._member_selector = MemberSelector(
            settings.members,
            info.node_id,
            self._heartbeat_s,
            reactor.seconds(),
        )
        self.incarnation = message_transport.incarnation
        self.contact = ControlContact()
        self._search = LeaderSearch(
            settings.in_fleet, self._heartbeat_s, self.contact, self._member_selector
        )
        self._pending_proposals = ProposalTracker(
            f"{info.node_id}-{self.incarnation}", PROPOSAL_RETRY_S
        )
        self._heartbeat_timer = PeriodicCall(reactor, self._on_heartbeat_timer)
        self._tick_timer = PeriodicCall(reactor, self._tick)

    @property
    def table(self):
        """Return the node's RoutingTable, whose rows are updated in place."""
        return self._subscription.table

    @property
    def entries(self):
        """Return the number of entries that share limits; see ``ControlContact``."""
        return self.contact.entries

    @property
    def reported_entries(self):
        """Return the number of entries that control reported; see ``ControlContact``."""
        return self.contact.reported_entries

    @property
    def capacity_ratio(self):
        """Return this entry's capacity in relation to the mean; see ``ControlContact``."""
        return self.contact.capacity_ratio

    @property
    def issues_permits(self):
        """Return whether the selected member issues permits for endpoints with a limit."""
        return self.contact.issues_permits

    @property
    def origin_members(self):
        """Return the MemberAddresses of control's members if they keep the origins of streams.

        It is empty before the first report, and while the member that answers heartbeats does not:
        one that gets a message it does not understand closes the connection.
        """
        return self._member_selector.reported_members if self._keeps_stream_origins else []

    @property
    def fresh(self):
        """Tell whether control confirmed a heartbeat within ``membership.stale_after_ms``."""
        limit_s = self._settings.membership.stale_after_ms / MS_PER_S
        return self.contact.is_fresh(self._reactor.seconds(), limit_s)

    @property
    def seconds_since_heartbeat(self):
        """Return the seconds since the last confirmed heartbeat was sent; None if there is none."""
        return self.contact.seconds_since_heartbeat(self._reactor.seconds())

    def leader_answers_within(self, seconds):
        """Tell whether a leader that issues permits confirmed a heartbeat sent not longer ago.

        Parameters
        ----------
        seconds : float

        Returns
        -------
        bool
        """
        return self.contact.leader_answered(self._reactor.seconds(), seconds)

    def start(self, watch=True):
        """Start sending heartbeats.

        Parameters
        ----------
        watch : bool, optional
            Whether the node needs the routing table.
        """
        self._subscription.is_wanted = watch
        self._heartbeat_timer.start(self._heartbeat_s)
        self._tick_timer.start(TICK_INTERVAL_S, now=False)

    def stop(self):
        """Stop heartbeats and fail all pending proposals."""
        self._heartbeat_timer.stop()
        self._tick_timer.stop()
        self._pending_proposals.close()

    def send(self, message):
        """Send a message to the selected control member.

        Parameters
        ----------
        message : Message
        """
        self._transport.send(self._member_selector.current.node_address, message)

    def propose(self, command, timeout_ms):
        """Propose a command to control.

        Parameters
        ----------
        command : Command
        timeout_ms : int

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires with a CommandResult, or fails with ControlUnavailableError if the outcome is
            unknown.
        """
        now_s = self._reactor.seconds()
        proposal, deferred = self._pending_proposals.add(command, now_s, timeout_ms / MS_PER_S)
        self.send(proposal)
        return deferred

    def report_load(self, load):
        """Report a model's load with the next heartbeat.

        Parameters
        ----------
        load : ModelTraffic
        """
        self._loads.add(load)

    def set_leaving(self):
        """Tell control that this node accepts no new requests."""
        self._leaving = True
        self._send_heartbeat()

    def handle(self, frame):
        """Handle a frame if its body is one of control's message types.

        Parameters
        ----------
        frame : Frame

        Returns
        -------
        bool
            Whether the frame was handled.
        """
        return self._handle_body(frame.body, frame)

    @singledispatchmethod
    def _handle_body(self, body, frame):
        return False

    @_handle_body.register
    def _(self, body: HeartbeatAck, frame):
        now_s = self._reactor.seconds()
        self._member_selector.record_frame(frame.sender, now_s)
        self._info_known = body.known
        self._keeps_stream_origins = body.keeps_stream_origins
        self.contact.record_ack(body)
        if body.members and self._member_selector.update_members(
            body.members, body.leader_address, now_s
        ):
            self._on_member_selected()
        self._loads.acknowledge(body.sequence)
        self._subscription.request_if_behind(body.table_revision)
        return True

    @_handle_body.register(TableChunk)
    @_handle_body.register(TableDelta)
    def _(self, body, frame):
        self._member_selector.record_frame(frame.sender, self._reactor.seconds())
        self._subscription.take(body)
        return True

    @_handle_body.register
    def _(self, body: ProposalResult, frame):
        refusal = body.result.refusal
        if refusal is not None and refusal.kind is ErrorKind.NO_CONTROL:
            # The member knows no leader; the proposal is resent until its timeout.
            return True
        self._pending_proposals.resolve(body)
        return True

    def update_seeds(self, settings):
        """Update the seed members from reloaded settings.

        Parameters
        ----------
        settings : Settings
        """
        self._member_selector.update_seeds(settings.members)

    def _on_heartbeat_timer(self):
        # While the node searches for the leader, _tick may just have sent a heartbeat to everyone.
        since_s = self._reactor.seconds() - self._heartbeat_sent_s
        if not self._sequence or since_s >= SEARCH_INTERVAL_S / 2:
            self._send_heartbeat()

    def _send_heartbeat(self):
        now_s = self._reactor.seconds()
        previous = self._member_selector.current
        if self._member_selector.select_next_if_silent(now_s):
            self._transport.disconnect(previous.node_address)
            self._on_member_selected()
        self._heartbeat_sent_s = now_s
        self._sequence += 1
        self.contact.record_sent(self._sequence, now_s)
        heartbeat = Heartbeat(
            self._sequence,
            *self._subscription.position,
            self._leaving,
            None if self._info_known else self._info,
            self._loads.send(self._sequence),
        )
        # The first heartbeat goes to one member only: usually there is a leader already.
        if self._sequence == 1 or not self._search.is_on(now_s):
            self.send(heartbeat)
            return
        for member in self._member_selector.known_members:
            self._transport.send(member.node_address, heartbeat)

    def _on_member_selected(self):
        logger.info(
            "control member selected", extra={"member": self._member_selector.current.member_id}
        )
        COUNTERS.increment("control_member_changes")
        self._info_known = False
        self._subscription.request()
        for proposal in self._pending_proposals.all():
            self.send(proposal)

    def _tick(self):
        now_s = self._reactor.seconds()
        self._member_selector.note_run(now_s)
        for proposal in self._pending_proposals.expire_and_get_due(now_s):
            self.send(proposal)
        self._subscription.request_if_empty()
        since_s = now_s - self._heartbeat_sent_s
        if self._search.is_on(now_s) and self._search.is_due(since_s + TICK_INTERVAL_S / 2):
            self._send_heartbeat()
