"""Control member of a fleet: wires up replication, node messages, the admin API and placement."""

import logging

from twisted.internet.defer import inlineCallbacks

from hemlockdock_control.admin.listener import AdminListener
from hemlockdock_control.consensus import Replicator
from hemlockdock_control.consensus.seeding import process_ip
from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_control.fleet.directory import DirectoryReader
from hemlockdock_control.fleet.load_summaries import LoadSummaries
from hemlockdock_control.fleet.nodes import FleetNodes
from hemlockdock_control.fleet.operator_api import RouteApi
from hemlockdock_control.fleet.peers import FleetPeers
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.registry import EndpointRegistry, changed_rows
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.hub import TableFeed
from hemlockdock_control.service.proposer import Proposer
from hemlockdock_control.state import ClusterStateMachine
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.http import HttpClient
from hemlockdock_core.links import LinkTls, MessageTransport
from hemlockdock_core.messages import NODE_CODEC, SUMMARY_INTERVAL_S
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.wall_clock import wall_ms
from hemlockdock_core.wire import load_wire

logger = logging.getLogger(__name__)

PUSH_MS = 20
DECIDE_MS = 40
CLEANUP_MS = 500
# Reports that arrive within this time of each other are handled by one placement round.
DECIDE_DELAY_S = 0.004
MS_PER_S = 1_000


class FleetControlService:
    """Run one control member of a fleet.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    tls : LinkTls, optional

    Attributes
    ----------
    replicator : Replicator
    machine : ClusterStateMachine
    """

    def __init__(self, reactor, settings, tls=None):
        self._reactor = reactor
        self._settings = settings
        self._tls = tls or LinkTls.of(settings)
        self._wire = load_wire(settings)
        self._transport = None
        self._loops = []
        self._commit_pending = False
        self._decide_call = None
        self._client = HttpClient(reactor)
        self._directory = DirectoryReader(settings, self._wire, self._client)
        self._registry = EndpointRegistry(settings.fleet)
        self._demand = DemandAggregator()
        self._limits = RequestLimits(reactor.seconds())
        self._load_summaries = LoadSummaries(settings.fleet)
        self.machine = ClusterStateMachine(settings)
        self.replicator = Replicator(reactor, settings, self.machine, self._tls)
        self._proposer = Proposer(reactor, self.replicator, self.machine)
        self._feed = TableFeed(self._send)
        self._peers = FleetPeers(self.replicator, self._proposer, self.machine)
        api = RouteApi(
            reactor,
            self._wire,
            self._proposer,
            self.machine,
            self._peers.read_document,
            self._limits,
        )
        self._admin = AdminListener(reactor, settings, api)
        self._placement = Placement()
        self._nodes = FleetNodes(
            settings,
            self.replicator,
            self.machine,
            self._feed,
            self._registry,
            self._demand,
            reactor,
            self._send,
            self._proposer,
            self._schedule_decision,
            self._limits,
        )

    @property
    def admin_address(self):
        """Return ``ip:port`` of the operators' HTTP listener, once started."""
        return self._admin.address

    def start(self):
        """Open the data folder, connect to the other members and start listening."""
        self.replicator.on_leadership(self._leadership_changed)
        self.replicator.forwards.on_received(self._peers.on_forward)
        self._transport = MessageTransport(
            self._reactor,
            process_ip(self._settings),
            wall_ms(),
            NODE_CODEC,
            self._settings.listen.links,
            self._nodes.on_frame,
            self._tls,
            self._settings.listen.advertised_links,
        )
        self.replicator.start()
        self._admin.start()
        self._every(PUSH_MS, self._push)
        self._every(DECIDE_MS, self._decide)
        self._every(round(SUMMARY_INTERVAL_S * MS_PER_S), self._share_loads)
        self._every(CLEANUP_MS, self._forget_silent_nodes)
        self._every(self._settings.fleet.directory_poll_ms, self._read_directory)
        logger.info("control started", extra={"member": self.replicator.member_id})

    @inlineCallbacks
    def stop(self):
        """Stop accepting requests, hand over leadership, and close all connections.

        Returns
        -------
        Deferred
        """
        yield self._admin.stop()
        for loop in self._loops:
            loop.stop()
        yield self.replicator.stop()
        self._proposer.cancel_pending()
        self._client.close()
        self._transport.close()

    def reload(self, settings):
        """Apply reloaded settings: the addresses at which other members may be found.

        Parameters
        ----------
        settings : Settings
        """
        self.replicator.update_seeds(settings)

    def _every(self, period_ms, work):
        loop = PeriodicCall(self._reactor, work)
        loop.start(period_ms / MS_PER_S, now=False)
        self._loops.append(loop)

    def _push(self):
        if self._nodes.may_push:
            self._feed.push(self.machine.state.epoch, self.machine.state.changes)

    def _share_loads(self):
        # Without a valid lease, another member may already lead and get newer reports.
        if not self.replicator.has_lease:
            return
        if not self._load_summaries.is_shared(self._nodes.are_capacities_uneven):
            return
        summary = self._load_summaries.next_summary(self._registry, self._reactor.seconds())
        if summary is None:
            return
        for address in self._nodes.entry_addresses:
            self._send(address, summary)

    def _forget_silent_nodes(self):
        self._limits.record_use(self._reactor.seconds())
        self._nodes.quotas.record_use()
        for address in self._nodes.remove_silent():
            self._transport.forget(address)

    @inlineCallbacks
    def _read_directory(self):
        if not self.replicator.is_leader:
            return
        read_s = self._reactor.seconds()
        endpoints = yield self._directory.read()
        if endpoints is not None and self.replicator.is_leader:
            self._registry.set_directory(endpoints, read_s)
            self._limits.remove_absent(self._registry.listed_by_id)
            self._record_endpoints()

    def _schedule_decision(self):
        if self._decide_call is None:
            self._decide_call = self._reactor.callLater(DECIDE_DELAY_S, self._decide_now)

    def _decide_now(self):
        self._decide_call = None
        self._decide()

    def _decide(self):
        now_s = self._reactor.seconds()
        state = self.machine.state
        self._placement.observe_recorded(state.endpoints.loads, now_s, wall_ms())
        # Without a valid lease, another member may already lead and send orders.
        if not self.replicator.has_lease:
            if not self.replicator.is_leader and self._nodes.is_fresh:
                self._follow(state, now_s)
            return
        if state.routes.manifest is not None:
            messages = self._placement.decide(
                state.routes.manifest.pools,
                state.endpoints.row_by_id,
                self._registry,
                self._demand,
                now_s,
                self.replicator.term,
            )
            for message in messages:
                self._send(message.agent_address, message.message)
            self._follow(state, now_s)
        self._record_endpoints()

    def _follow(self, state, now_s):
        if state.routes.manifest is None:
            return
        pools = state.routes.manifest.pools
        rows = state.endpoints.row_by_id
        self._placement.follow(pools, rows, now_s, self.replicator.term)

    def _record_endpoints(self):
        # Without a valid lease, the recorded limits of endpoints may not be applied here yet.
        if self._commit_pending or not self.replicator.has_lease:
            return
        now_s = self._reactor.seconds()
        recorded = self.machine.state.endpoints.row_by_id
        self._limits.adopt(recorded.values(), now_s)
        wanted = self._registry.rows(now_s, self._placement, self._limits, recorded)
        if wanted is None:
            return
        present, gone = changed_rows(wanted, recorded)
        store_loads = self._placement.store.measured_limit
        is_new = store_loads not in (0, self.machine.state.endpoints.loads.store_loads)
        if not present and not gone and not is_new:
            return
        self._commit_pending = True
        for row in present:
            logger.info("endpoint changed", extra={"endpoint": row.endpoint_id, "row": repr(row)})
        for endpoint_id in gone:
            logger.info("endpoint gone", extra={"endpoint": endpoint_id})
        outcome = self._proposer.commit(RecordEndpoints(present, gone, wall_ms(), store_loads))
        outcome.addBoth(self._endpoints_committed)

    def _endpoints_committed(self, _):
        self._commit_pending = False
        self._push()

    def _leadership_changed(self, leads):
        logger.info(
            "became leader" if leads else "became follower", extra={"term": self.replicator.term}
        )
        self._registry.clear(self._reactor.seconds())
        self._demand.clear()
        self._limits.clear(self._reactor.seconds())
        self._nodes.quotas.clear(self._reactor.seconds())
        self._load_summaries.clear()
        self._placement.clear()
        self._commit_pending = False
        # A new leader has no endpoints for entries until it has read the directory.
        self._read_directory()

    def _send(self, address, message):
        self._transport.send(address, message)
