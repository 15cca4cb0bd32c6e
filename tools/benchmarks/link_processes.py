"""The real links of control members and entries on a virtual network."""

from types import SimpleNamespace

from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_control.fleet.nodes import FleetNodes
from hemlockdock_control.fleet.registry import EndpointRegistry
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.hub.table_feed import TableFeed
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, NodeInfo
from hemlockdock_core.node import ControlLink
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.settings import parse_settings

MEMBERS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
PORT = 7
SETTINGS = (
    "[process]\nnode_id = {name}\nroles = entry\nhost = h\nfailure_domain = d\n"
    "[listen]\nlinks = tcp://127.0.0.9:1\nready = 127.0.0.9:2\n"
    "[membership]\nheartbeat_ms = 500\n"
    "[fleet]\nseeds = 127.0.0.1:80, 127.0.0.2:80, 127.0.0.3:80\nnode_port = 7\n"
)
PUSH_S = 0.04
CLEANUP_S = 0.5
# All nodes start within this time.
START_S = 0.3
NODES_PER_BLOCK = 200


class Member:
    """A control member's side of the connections with nodes.

    Parameters
    ----------
    network : LinkNetwork
    ip : str
    leader_ip : str
    machine : ClusterStateMachine
    rng : random.Random
    """

    def __init__(self, network, ip, leader_ip, machine, rng):
        self.reactor = network.process()
        self._machine = machine
        settings = parse_settings(SETTINGS.format(name=ip), "member")
        replicator = SimpleNamespace(
            is_leader=ip == leader_ip,
            has_lease=ip == leader_ip,
            leader_id=leader_ip,
            last_leader_contact_s=0.0,
            is_caught_up=True,
            configuration=SimpleNamespace(
                members=[SimpleNamespace(member_id=member) for member in MEMBERS]
            ),
        )
        self._feed = TableFeed(self._send)
        self._nodes = FleetNodes(
            settings,
            replicator,
            machine,
            self._feed,
            EndpointRegistry(),
            DemandAggregator(),
            self.reactor,
            self._send,
            None,
            lambda: None,
            RequestLimits(0.0),
        )
        address = f"tcp://{ip}:{PORT}"
        self._transport = MessageTransport(
            self.reactor,
            ip,
            1,
            NODE_CODEC,
            address,
            self._nodes.on_frame,
            random_source=rng,
            **network.sockets(address),
        )
        self._loops = []
        for work, period_s in ((self.push, PUSH_S), (self._forget_silent, CLEANUP_S)):
            loop = PeriodicCall(self.reactor, work)
            loop.start(period_s, now=False)
            self._loops.append(loop)

    def push(self):
        """Send the latest changes to the nodes that watch."""
        state = self._machine.state
        self._feed.push(state.epoch, state.changes)

    def _forget_silent(self):
        for address in self._nodes.remove_silent():
            self._transport.forget(address)

    def _send(self, address, message):
        self._transport.send(address, message)


class Node:
    """An entry's link to control.

    Parameters
    ----------
    network : LinkNetwork
    number : int
    rng : random.Random
    """

    def __init__(self, network, number, rng):
        self.reactor = network.process()
        block, last = divmod(number, NODES_PER_BLOCK)
        self.address = f"tcp://127.0.{10 + block}.{1 + last}:{PORT}"
        settings = parse_settings(SETTINGS.format(name=f"entry-{number}"), "entry")
        self.transport = MessageTransport(
            self.reactor,
            f"entry-{number}",
            1,
            NODE_CODEC,
            self.address,
            self._receive,
            random_source=rng,
            **network.sockets(self.address),
        )
        info = NodeInfo(f"entry-{number}", "entry", "h", "d", self.address)
        self.link = ControlLink(self.reactor, settings, self.transport, info)
        self.reactor.callLater(START_S * rng.random(), self.link.start)

    def _receive(self, frame):
        self.link.handle(frame)
