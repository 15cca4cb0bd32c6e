"""Assemble a control member."""

import logging

import pynng
from twisted.internet.defer import inlineCallbacks

from hemlockdock_control.admin import AdminApi, AdminListener, AdminPages
from hemlockdock_control.consensus import Replicator
from hemlockdock_control.consensus.replicator import clock_ms
from hemlockdock_control.hub import TableFeed
from hemlockdock_control.membership import Beats, PlatformList, SilenceClock
from hemlockdock_control.placement import Planner
from hemlockdock_control.service.address_table import AddressTable
from hemlockdock_control.service.contact import LeaderContact
from hemlockdock_control.service.leader_intake import LeaderIntake
from hemlockdock_control.service.leader_round import LeaderRound
from hemlockdock_control.service.load_tracker import LoadTracker
from hemlockdock_control.service.member_front import MemberFront
from hemlockdock_control.service.node_front import NodeFront
from hemlockdock_control.service.planner_view import build_view
from hemlockdock_control.service.proposer import Proposer
from hemlockdock_control.service.volatile import Volatile
from hemlockdock_control.state import ClusterMachine
from hemlockdock_core.links import LinkTls, MessageTransport
from hemlockdock_core.messages import NODE_CODEC, OrderOutcome
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.repeating import Repeating
from hemlockdock_core.rows import ReplicaState
from hemlockdock_core.wall_clock import wall_ms

logger = logging.getLogger(__name__)

PUSH_MS = 25
DIGEST_MS = 200
DIGESTS_PER_COPY = 25
FORGET_FACTOR = 4


class ControlService:
    """Run one control member.

    Parameters
    ----------
    reactor : twisted reactor
    settings : hemlockdock_core.settings.Settings
    tls : LinkTls, optional
        Keys for the links to nodes and members; by default those that the settings name.
    replicator_factory : callable, optional
        Takes the reactor, the settings, the machine and the keys.

    Attributes
    ----------
    replicator : Replicator
    machine : ClusterMachine
    volatile : Volatile
    """

    def __init__(self, reactor, settings, tls=None, replicator_factory=Replicator):
        self._reactor = reactor
        self._settings = settings
        self._tls = tls or LinkTls.of(settings)
        self._transport = None
        self._clock = SilenceClock(reactor)
        self._addresses = AddressTable()
        self._led_by = ""
        self._digests = 0
        self.machine = ClusterMachine(settings)
        self.replicator = replicator_factory(reactor, settings, self.machine, self._tls)
        self._planner = Planner(settings)
        platform = PlatformList(reactor, settings, lambda: self.replicator.is_leader)
        board = LoadTracker(settings, self._planner.observe_arrivals)
        self.volatile = Volatile(Beats(), board, platform)
        self._feed = TableFeed(self._send)
        self._proposer = Proposer(reactor, self.replicator, self.machine)
        self._round = LeaderRound(
            settings, self.machine, self._planner, self._proposer, self.volatile, self._send
        )
        contact = LeaderContact(settings, self.replicator, clock_ms)
        intake = LeaderIntake(
            self.machine, self._proposer, self.volatile, self.wall_ms, self._learn
        )
        self._nodes = NodeFront(
            self.replicator,
            self.machine,
            self._proposer,
            self.volatile,
            self._feed,
            contact,
            self._clock,
            self.wall_ms,
            self._send,
            intake,
        )
        pages = AdminPages(settings, self)
        self._members = MemberFront(self.replicator, self._proposer, self._nodes, pages, contact)
        api = AdminApi(reactor, settings, self.replicator, self._proposer, pages)
        self._admin = AdminListener(reactor, settings, api.app.resource(), api.idle)
        self._loops = []

    @property
    def member_id(self):
        """Return this member's id."""
        return self._settings.process.node_id

    @property
    def feed(self):
        """Return what serves the watchers."""
        return self._feed

    @property
    def node_address(self):
        """Return the address of the nodes' mailbox."""
        return self._transport.address

    @property
    def admin_address(self):
        """Return ``ip:port`` of the operators' API."""
        return self._admin.address

    def explain(self, model):
        """Say why a model is, or is not, loaded.

        Parameters
        ----------
        model : str

        Returns
        -------
        list of str
        """
        at_ms = self.wall_ms()
        return self._planner.explain(self._view(at_ms), model, at_ms)

    def start(self):
        """Open the data folder, join the other members and listen."""
        self.replicator.on_leadership(self._leadership_changed)
        self.replicator.on_forward(self._members.on_forward)
        incarnation = self.wall_ms()
        self._transport = MessageTransport(
            self._reactor,
            self._settings.process.node_id,
            incarnation,
            NODE_CODEC,
            self._node_listen_address(),
            self._on_frame,
            self._tls,
        )
        self.replicator.start()
        self._admin.start()
        self.volatile.platform.start()
        self._every(PUSH_MS, self._push)
        self._every(DIGEST_MS, self._digest)
        self._every(self._settings.control.decide_ms, self._decide)
        logger.info("control started", extra={"node_address": self.node_address})

    @inlineCallbacks
    def stop(self):
        """Hand over, finish what is under way, and close.

        Returns
        -------
        Deferred
        """
        yield self._admin.stop()
        for loop in self._loops:
            loop.stop()
        self.volatile.platform.stop()
        yield self.replicator.stop()
        self._proposer.give_up()
        self._transport.close()
        logger.info("control stopped")

    def wall_ms(self):
        """Return the wall clock, in milliseconds since 1970."""
        return wall_ms()

    def _every(self, period_ms, work):
        loop = Repeating(self._reactor, work)
        loop.start(period_ms / 1_000, now=False)
        self._loops.append(loop)

    def _push(self):
        state = self.machine.state
        self._feed.push(state.epoch, state.changes)

    def _digest(self):
        leader_id = self.replicator.leader_id
        self._digests += 1
        if self._led_by and leader_id != self._led_by:
            # The old leader may never answer what was relayed to it.
            self._proposer.give_up()
        if leader_id and leader_id != self._led_by:
            self._nodes.tell_leader_all()
        elif self._digests % DIGESTS_PER_COPY == 0:
            # A forward may be lost, or come before the leader knows that it leads.
            self._nodes.tell_leader_beats()
        self._led_by = leader_id
        self._nodes.push_digest()
        now_ms = self._clock.now_ms()
        silent_ms = self._settings.membership.certain_after_ms * FORGET_FACTOR
        self._nodes.forget_silent(now_ms, silent_ms)
        watch_ms = self._settings.membership.lost_after_ms * FORGET_FACTOR
        for address in self._feed.forget_silent(now_ms, watch_ms):
            # It moved to another member or is gone; what waits for it here is of no use.
            self._transport.forget(address)
        for address in self._addresses.forget_silent(now_ms, silent_ms):
            self._transport.forget(address)

    def _decide(self):
        if self.replicator.is_leader:
            self._round.run(self._clock.now_ms(), self.wall_ms())

    def _leadership_changed(self, leads):
        if leads:
            COUNTERS.increment("control_leaderships")
            self._round.begin(self._clock.now_ms())
            self.volatile.board.begin(self.wall_ms())
            self._nodes.tell_leader_all()
            logger.info("leads")
            return
        self.volatile.report_by_id.clear()
        self._drop_agent_links()
        logger.info("no longer leads")

    def _drop_agent_links(self):
        # Orders that still wait to be sent must not arrive once another member leads.
        for record in self.machine.state.nodes.record_by_id.values():
            if record.info.memory_mb:
                self._transport.forget(record.info.address)

    def _learn(self, result):
        replica = self.machine.state.replicas.record_by_id.get(result.replica_id)
        if replica is None or replica.state is not ReplicaState.LOADING:
            return
        if result.fence != replica.fence:
            return
        if result.outcome is not OrderOutcome.DONE:
            self._planner.observe_failure(replica.model, replica.node_id, self.wall_ms())
            return
        view = self._view(self.wall_ms())
        self._planner.observe_load(view, replica.replica_id, result.took_ms)

    def _view(self, at_ms):
        volatile = self.volatile
        return build_view(self.machine.state, volatile.report_by_id, volatile.board, at_ms)

    def _on_frame(self, frame):
        if frame.reply_to and not self._addresses.touch(frame.reply_to, self._clock.now_ms()):
            COUNTERS.increment("control_senders_refused")
            return
        self._nodes.on_frame(frame)

    def _send(self, address, message):
        if not self._addresses.touch(address, self._clock.now_ms()):
            COUNTERS.increment("control_senders_refused")
            return
        try:
            self._transport.send(address, message)
        except (ValueError, pynng.NNGException) as error:
            # An address that a node made up must not stop the work for the others.
            COUNTERS.increment("control_bad_addresses")
            logger.warning("bad address", extra={"address": address, "problem": str(error)})

    def _node_listen_address(self):
        for member in self._settings.members:
            if member.member_id == self._settings.process.node_id:
                return member.node_address
        raise ValueError(f"{self._settings.process.node_id!r} is no member")
