"""Assemble a control member."""

import logging

import pynng
from twisted.internet.defer import inlineCallbacks

from hemlockdock_control.admin import AdminApi, AdminListener, AdminPages
from hemlockdock_control.consensus import Replicator
from hemlockdock_control.consensus.replicator import clock_ms
from hemlockdock_control.hub import TableFeed
from hemlockdock_control.membership import HeartbeatTable, PlatformList, SilenceClock
from hemlockdock_control.placement import Planner
from hemlockdock_control.service.address_table import AddressTable
from hemlockdock_control.service.leader_contact import LeaderContact
from hemlockdock_control.service.leader_message_handler import LeaderMessageHandler
from hemlockdock_control.service.leader_round import LeaderRound
from hemlockdock_control.service.load_tracker import LoadTracker
from hemlockdock_control.service.node_message_handler import NodeMessageHandler
from hemlockdock_control.service.peer_message_handler import PeerMessageHandler
from hemlockdock_control.service.planner_view import build_view
from hemlockdock_control.service.proposer import Proposer
from hemlockdock_control.service.volatile_state import VolatileState
from hemlockdock_control.state import ClusterStateMachine
from hemlockdock_core.links import LinkTls, MessageTransport
from hemlockdock_core.messages import NODE_CODEC, OrderOutcome
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.rows import ReplicaState
from hemlockdock_core.wall_clock import wall_ms

logger = logging.getLogger(__name__)

PUSH_INTERVAL_MS = 25
DIGEST_INTERVAL_MS = 200
DIGESTS_PER_RESEND = 25
EXPIRY_FACTOR = 4


class ControlService:
    """Run one control member.

    Parameters
    ----------
    reactor : twisted reactor
    settings : hemlockdock_core.settings.Settings
    tls : LinkTls, optional
        Keys for the links to nodes and members; defaults to those named in the settings.
    replicator_factory : callable, optional
        Takes the reactor, the settings, the state machine and the keys.

    Attributes
    ----------
    replicator : Replicator
    machine : ClusterStateMachine
    volatile_state : VolatileState
    """

    def __init__(self, reactor, settings, tls=None, replicator_factory=Replicator):
        self._reactor = reactor
        self._settings = settings
        self._tls = tls or LinkTls.of(settings)
        self._transport = None
        self._clock = SilenceClock(reactor)
        self._address_table = AddressTable()
        self._known_leader_id = ""
        self._digests = 0
        self.machine = ClusterStateMachine(settings)
        self.replicator = replicator_factory(reactor, settings, self.machine, self._tls)
        self._planner = Planner(settings)
        platform = PlatformList(reactor, settings, lambda: self.replicator.is_leader)
        load_tracker = LoadTracker(settings, self._planner.observe_arrivals)
        self.volatile_state = VolatileState(HeartbeatTable(), load_tracker, platform)
        self._feed = TableFeed(self._send)
        self._proposer = Proposer(reactor, self.replicator, self.machine)
        self._leader_round = LeaderRound(
            settings, self.machine, self._planner, self._proposer, self.volatile_state, self._send
        )
        leader_contact = LeaderContact(settings, self.replicator, clock_ms)
        leader_handler = LeaderMessageHandler(
            self.machine,
            self._proposer,
            self.volatile_state,
            self.wall_ms,
            self._observe_order_result,
        )
        self._node_handler = NodeMessageHandler(
            self.replicator,
            self.machine,
            self._proposer,
            self.volatile_state,
            self._feed,
            leader_contact,
            self._clock,
            self.wall_ms,
            self._send,
            leader_handler,
        )
        pages = AdminPages(settings, self)
        self._peer_handler = PeerMessageHandler(
            self.replicator, self._proposer, self._node_handler, pages, leader_contact
        )
        api = AdminApi(reactor, settings, self.replicator, self._proposer, pages)
        self._admin = AdminListener(reactor, settings, api.app.resource(), api.idle)
        self._loops = []

    @property
    def member_id(self):
        """Return this member's id."""
        return self._settings.process.node_id

    @property
    def feed(self):
        """Return the feed that sends the routing table to watchers."""
        return self._feed

    @property
    def node_address(self):
        """Return the address at which nodes reach this member."""
        return self._transport.address

    @property
    def admin_address(self):
        """Return the ``ip:port`` of the operators' API."""
        return self._admin.address

    def explain(self, model):
        """Explain why a model is or is not loaded.

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
        """Open the data folder, connect to the other members and start to listen."""
        self.replicator.on_leadership(self._leadership_changed)
        self.replicator.forwards.on_received(self._peer_handler.on_forward)
        incarnation = self.wall_ms()
        self._transport = MessageTransport(
            self._reactor,
            self._settings.process.node_id,
            incarnation,
            NODE_CODEC,
            self._node_listen_address(),
            self._on_frame,
            self._tls,
            self._settings.listen.advertised_links,
        )
        self.replicator.start()
        self._admin.start()
        self.volatile_state.platform.start()
        self._start_loop(PUSH_INTERVAL_MS, self._push_table)
        self._start_loop(DIGEST_INTERVAL_MS, self._send_digest)
        self._start_loop(self._settings.control.decide_ms, self._run_leader_round)
        logger.info("control started", extra={"node_address": self.node_address})

    @inlineCallbacks
    def stop(self):
        """Finish the requests in progress, hand over leadership and close all connections.

        Returns
        -------
        Deferred
        """
        yield self._admin.stop()
        for loop in self._loops:
            loop.stop()
        self.volatile_state.platform.stop()
        yield self.replicator.stop()
        self._proposer.cancel_pending()
        self._transport.close()
        logger.info("control stopped")

    def wall_ms(self):
        """Return the wall-clock time in milliseconds since 1970."""
        return wall_ms()

    def _start_loop(self, period_ms, work):
        loop = PeriodicCall(self._reactor, work)
        loop.start(period_ms / 1_000, now=False)
        self._loops.append(loop)

    def _push_table(self):
        state = self.machine.state
        if not self.replicator.is_caught_up:
            return
        self._feed.push(state.epoch, state.changes)

    def _send_digest(self):
        leader_id = self.replicator.leader_id
        self._digests += 1
        if self._known_leader_id and leader_id != self._known_leader_id:
            # The previous leader may never answer the requests that were relayed to it.
            self._proposer.cancel_pending()
        if leader_id and leader_id != self._known_leader_id:
            self._node_handler.resend_all_to_leader()
        elif self._digests % DIGESTS_PER_RESEND == 0:
            # A digest may get lost, or arrive before the new leader knows that it leads.
            self._node_handler.resend_heartbeats()
        self._known_leader_id = leader_id
        self._node_handler.send_digest()
        now_ms = self._clock.now_ms()
        silent_ms = self._settings.membership.certain_after_ms * EXPIRY_FACTOR
        self._node_handler.remove_silent(now_ms, silent_ms)
        watch_ms = self._settings.membership.lost_after_ms * EXPIRY_FACTOR
        for address in self._feed.remove_silent(now_ms, watch_ms):
            # The watcher moved to another member or is gone, so messages queued for it are useless.
            self._transport.forget(address)
        for address in self._address_table.remove_silent(now_ms, silent_ms):
            self._transport.forget(address)

    def _run_leader_round(self):
        if self.replicator.is_leader:
            self._leader_round.run(self._clock.now_ms(), self.wall_ms())

    def _leadership_changed(self, leads):
        if leads:
            COUNTERS.increment("control_leaderships")
            self._leader_round.reset(self._clock.now_ms())
            self.volatile_state.load_tracker.reset(self.wall_ms())
            self._node_handler.resend_all_to_leader()
            logger.info("became leader")
            return
        self.volatile_state.report_by_id.clear()
        self._drop_agent_links()
        logger.info("became follower")

    def _drop_agent_links(self):
        # Queued orders must not reach agents once another member leads.
        for record in self.machine.state.nodes.record_by_id.values():
            if record.info.memory_mb:
                self._transport.forget(record.info.address)

    def _observe_order_result(self, result):
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
        volatile_state = self.volatile_state
        return build_view(
            self.machine.state, volatile_state.report_by_id, volatile_state.load_tracker, at_ms
        )

    def _on_frame(self, frame):
        if frame.reply_to and not self._address_table.touch(frame.reply_to, self._clock.now_ms()):
            COUNTERS.increment("control_senders_refused")
            return
        self._node_handler.on_frame(frame)

    def _send(self, address, message):
        if not self._address_table.touch(address, self._clock.now_ms()):
            COUNTERS.increment("control_senders_refused")
            return
        try:
            self._transport.send(address, message)
        except (ValueError, pynng.NNGException) as error:
            # An invalid address reported by one node must not affect the other nodes.
            COUNTERS.increment("control_bad_addresses")
            logger.warning(
                "invalid node address", extra={"address": address, "problem": str(error)}
            )

    def _node_listen_address(self):
        for member in self._settings.members:
            if member.member_id == self._settings.process.node_id:
                return member.node_address
        raise ValueError(f"{self._settings.process.node_id!r} is not in the list of members")
