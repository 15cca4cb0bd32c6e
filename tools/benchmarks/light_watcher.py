"""Watch the routing table as a node does, and count the bytes of all frames."""

from twisted.internet.task import LoopingCall

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, Frame
from hemlockdock_core.node import ControlLink
from hemlockdock_core.node_info import NodeInfo
from hemlockdock_core.settings import parse_settings

LENGTH_BYTES = 8  # length prefix of each frame on the wire
INVENTORY_REPEAT_S = 2.0
SETTINGS = """
[process]
node_id = {node_id}
roles = entry
host = host-{node_id}
failure_domain = domain-1
[control]
members = {member_id}@{address}@tcp://127.0.0.1:1
"""


class LightWatcher:
    """Node without a service: only the link to control that entries and agents use.

    Parameters
    ----------
    reactor : twisted reactor
    node_id : str
    service : ControlService
        The control member that the node connects to.
    inventory : Inventory, optional
        If given, the node is an agent that sends this inventory periodically.

    Attributes
    ----------
    frame_bytes : int
        Size in bytes of all frames sent and received, with their length prefixes.
    """

    def __init__(self, reactor, node_id, service, inventory=None):
        member_id = service.member_id
        text = SETTINGS.format(node_id=node_id, member_id=member_id, address=service.node_address)
        settings = parse_settings(text, node_id)
        self.frame_bytes = 0
        self._transport = MessageTransport(
            reactor, node_id, 1, CountingCodec(self), "tcp://127.0.0.1:0", self._receive
        )
        role = "entry" if inventory is None else "agent"
        info = NodeInfo(node_id, role, f"host-{node_id}", "domain-1", self._transport.address)
        self._link = ControlLink(reactor, settings, self._transport, info)
        self._link.start()
        self._inventory_timer = LoopingCall(self._link.send, inventory)
        self._inventory_timer.clock = reactor
        if inventory is not None:
            self._inventory_timer.start(INVENTORY_REPEAT_S)

    @property
    def manifest_number(self):
        """Return the number of the manifest in force at this node, or 0 without one."""
        manifest = self._link.table.manifest
        return manifest.number if manifest is not None else 0

    def close(self):
        """Stop the link and close the transport."""
        if self._inventory_timer.running:
            self._inventory_timer.stop()
        self._link.stop()
        self._transport.close()

    def _receive(self, frame):
        self._link.handle(frame)


class CountingCodec:
    """Codec that counts the bytes of the frames that a watcher sends and receives.

    Parameters
    ----------
    watcher : LightWatcher
    """

    def __init__(self, watcher):
        self._watcher = watcher

    def encode(self, frame: Frame):
        """Encode a frame and count its bytes."""
        data = NODE_CODEC.encode(frame)
        self._watcher.frame_bytes += len(data) + LENGTH_BYTES
        return data

    def decode(self, data):
        """Decode a frame and count its bytes."""
        self._watcher.frame_bytes += len(data) + LENGTH_BYTES
        return NODE_CODEC.decode(data)
