"""Handle messages from nodes: heartbeats, table subscriptions, and endpoint and demand reports."""

import logging
from dataclasses import dataclass
from functools import singledispatchmethod

from hemlockdock_control.consensus.seeding import member_ip
from hemlockdock_control.fleet.entry_capacities import EntryCapacities
from hemlockdock_control.fleet.entry_lists import EntryLists
from hemlockdock_control.fleet.registry import AgentReport
from hemlockdock_control.fleet.stream_origins import StreamOrigins
from hemlockdock_control.quotas import QuotaLedger
from hemlockdock_control.service.node_proposals import NodeProposals
from hemlockdock_core.commands import RecordCrash, ReleaseQuarantine
from hemlockdock_core.messages import (
    DemandReport,
    EndpointReport,
    FindStreamOrigin,
    Heartbeat,
    HeartbeatAck,
    LimitNamed,
    PermitRequest,
    PermitReturn,
    Proposal,
    QuotaRequest,
    QuotaReturn,
    StreamStarted,
    WatchTable,
)
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
ENTRY_ROLE = "entry"
# What entries saw at endpoints; decisions are left to control members and operators.
PROPOSABLE = (RecordCrash, ReleaseQuarantine)
# Several heartbeat intervals: a node silent for longer has lost its connection or its process.
NODE_TIMEOUT_S = 2.5


@dataclass(slots=True)
class FleetNode:
    """A node that sends heartbeats to this member.

    Attributes
    ----------
    node_id : str
    address : str
        Address of its mailbox.
    role : str
        Empty until the node has reported it.
    heard_s : float
        Time of its last heartbeat.
    """

    node_id: str
    address: str
    role: str
    heard_s: float


class FleetNodes:
    """Track the nodes of a fleet and handle their messages.

    Parameters
    ----------
    settings : Settings
    replicator : Replicator
    machine : ClusterStateMachine
    feed : TableFeed
    registry : EndpointRegistry
    demand : DemandAggregator
    clock : twisted reactor
    send : callable
        Takes an address and a message.
    proposer : Proposer
    on_change : callable
        Called without arguments when a report has arrived that may change placement decisions.
    limits : RequestLimits

    Attributes
    ----------
    quotas : QuotaLedger
    """

    def __init__(
        self,
        settings,
        replicator,
        machine,
        feed,
        registry,
        demand,
        clock,
        send,
        proposer,
        on_change,
        limits,
    ):
        self._settings = settings
        self._replicator = replicator
        self._machine = machine
        self._feed = feed
        self._registry = registry
        self._demand = demand
        self._clock = clock
        self._send = send
        self._on_change = on_change
        self._limits = limits
        self.quotas = QuotaLedger(clock.seconds())
        self._proposals = NodeProposals(proposer, send, PROPOSABLE)
        self._node_by_address = {}
        self._capacities = EntryCapacities()
        self._entry_lists = EntryLists(send)
        self._stream_origins = StreamOrigins(replicator, machine, clock)

    @property
    def entry_count(self):
        """Return the number of entries that send heartbeats to this member."""
        return sum(1 for node in self._node_by_address.values() if node.role == ENTRY_ROLE)

    @property
    def entry_addresses(self):
        """Return the addresses of the entries that send heartbeats to this member."""
        nodes = self._node_by_address.values()
        return [node.address for node in nodes if node.role == ENTRY_ROLE]

    @property
    def are_capacities_uneven(self):
        """Return whether entries that send heartbeats to this member state different capacities."""
        return self._capacities.are_uneven

    @property
    def is_fresh(self):
        """Tell whether this member, leader or follower, has a leader in recent contact."""
        limit_ms = 2 * self._settings.control.election_ms
        return self._replicator.last_leader_contact_s * MS_PER_S <= limit_ms

    @property
    def may_push(self):
        """Tell whether this member's table is the newest it knows, and it has a leader."""
        return self.is_fresh and self._replicator.is_caught_up

    def on_frame(self, frame):
        """Handle a frame from a node.

        Parameters
        ----------
        frame : Frame
        """
        if not frame.reply_to:
            COUNTERS.increment("control_unexpected_messages", message=type(frame.body).__name__)
            return
        self._on_message(frame.body, frame)

    def remove_silent(self):
        """Remove nodes whose heartbeats have timed out.

        Returns
        -------
        list of str
            Addresses whose connections can be closed.
        """
        now_s = self._clock.seconds()
        silent = []
        for address, node in list(self._node_by_address.items()):
            if now_s - node.heard_s >= NODE_TIMEOUT_S:
                del self._node_by_address[address]
                self._demand.forget_entry(node.node_id)
                self._entry_lists.remove(address)
                self._capacities.remove(address, now_s)
                silent.append(address)
        self._stream_origins.remove_expired()
        self._feed.remove_silent(now_s * MS_PER_S, NODE_TIMEOUT_S * MS_PER_S)
        return silent

    @singledispatchmethod
    def _on_message(self, body, frame):
        COUNTERS.increment("control_unexpected_messages", message=type(body).__name__)

    @_on_message.register
    def _(self, body: Heartbeat, frame):
        now_s = self._clock.seconds()
        node = self._node_by_address.get(frame.reply_to)
        if node is None:
            node = FleetNode(frame.sender, frame.reply_to, "", now_s)
            self._node_by_address[frame.reply_to] = node
        node.heard_s = now_s
        if body.info is not None:
            node.role = body.info.role
            if node.role == ENTRY_ROLE:
                self._capacities.set(frame.reply_to, body.info.capacity, now_s)
        if node.role == ENTRY_ROLE:
            self._limits.roster.record_heartbeat(node.node_id, now_s, body.leaving)
        self._feed.touch(frame.reply_to, now_s * MS_PER_S)
        if not self.is_fresh:
            # Without an answer, the node switches to a member that is in contact with a leader.
            COUNTERS.increment("control_heartbeats_unanswered")
            return
        self._send(frame.reply_to, self._acknowledgement(body, node))
        if node.role == ENTRY_ROLE and self._replicator.has_lease:
            self._entry_lists.heartbeat(frame.reply_to, now_s, is_new=body.info is not None)

    @_on_message.register
    def _(self, body: WatchTable, frame):
        if not self.is_fresh:
            return
        now_ms = self._clock.seconds() * MS_PER_S
        if self._feed.watch(frame.sender, frame.reply_to, body, now_ms) and self.may_push:
            self._feed.push(self._machine.state.epoch, self._machine.state.changes)

    @_on_message.register
    def _(self, body: EndpointReport, frame):
        if not self._replicator.is_leader:
            return
        report = AgentReport(frame.reply_to, frame.incarnation, body, self._clock.seconds())
        self._registry.record_report(report)
        self._on_change()

    @_on_message.register
    def _(self, body: DemandReport, frame):
        if self._replicator.is_leader:
            self._demand.record_report(frame.sender, body, self._clock.seconds())
            self._on_change()

    @_on_message.register
    def _(self, body: LimitNamed, frame):
        if self._replicator.is_leader:
            self._limits.record(body.endpoint_id, body.per_s, self._clock.seconds())
            self._on_change()

    @_on_message.register
    def _(self, body: PermitRequest, frame):
        # Without a valid lease, another member may already lead and issue permits.
        if self._replicator.has_lease:
            reply = self._limits.issue(frame.sender, body, self._clock.seconds())
            self._send(frame.reply_to, reply)

    @_on_message.register
    def _(self, body: PermitReturn, frame):
        self._limits.give_back(body)

    @_on_message.register
    def _(self, body: QuotaRequest, frame):
        # Without a valid lease, another member may already lead and grant tokens.
        if not self._replicator.has_lease:
            return
        now_s = self._clock.seconds()
        self._limits.roster.record_message(frame.sender, now_s)
        self._limits.roster.record_reported(body.entries)
        self.quotas.update(self._machine.state.routes.manifest)
        counts = self._limits.roster.counts(now_s)
        self._send(frame.reply_to, self.quotas.answer(body, counts, now_s))

    @_on_message.register
    def _(self, body: QuotaReturn, frame):
        self.quotas.give_back(body)

    @_on_message.register
    def _(self, body: Proposal, frame):
        self._proposals.on_proposal(body, frame.reply_to)

    @_on_message.register
    def _(self, body: StreamStarted, frame):
        self._stream_origins.record(body)

    @_on_message.register
    def _(self, body: FindStreamOrigin, frame):
        self._send(frame.reply_to, self._stream_origins.reply_to(body))

    def _acknowledgement(self, heartbeat, node):
        capacity_ratio = 0.0
        if self._replicator.is_leader:
            capacity_ratio = self._capacities.ratio(node.address, self._clock.seconds())
        leader_id = self._replicator.leader_id
        leader_address = ""
        if leader_id:
            leader_address = self._settings.seed_address(member_ip(leader_id)).node_address
        return HeartbeatAck(
            heartbeat.sequence,
            self._machine.state.changes.revision,
            bool(node.role),
            fresh=True,
            members=self._member_addresses(),
            leader_address=leader_address,
            entries=self.entry_count if self._replicator.is_leader else 0,
            keeps_stream_origins=True,
            issues_permits=self._replicator.has_lease,
            capacity_ratio=capacity_ratio,
        )

    def _member_addresses(self):
        addresses = []
        for member in self._replicator.configuration.members:
            addresses.append(self._settings.seed_address(member_ip(member.member_id)).node_address)
        return addresses
