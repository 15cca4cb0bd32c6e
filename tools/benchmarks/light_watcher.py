"""Act as a node that watches the routing table and counts its frames."""

from twisted.internet.task import LoopingCall

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, Frame
from hemlockdock_core.node import ControlLink
from hemlockdock_core.node_info import NodeInfo
from hemlockdock_core.settings import parse_settings

LENGTH_BYTES = 8  # each frame's length on the wire
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
    """Run the same link to control that entries and agents run, and nothing else.

    Parameters
    ----------
    reactor : twisted reactor
    node_id : str
    service : ControlService
        The member that it talks to.
    inventory : Inventory, optional
        Makes it an agent that repeats this inventory as agents do.

    Attributes
    ----------
    frame_bytes : int
        Bytes of all frames sent and received.
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
        """Return the number of the manifest that is in force here; 0 for none."""
        manifest = self._link.table.manifest
        return manifest.number if manifest is not None else 0

    def close(self):
        """Stop and close its sockets."""
        if self._inventory_timer.running:
            self._inventory_timer.stop()
        self._link.stop()
        self._transport.close()

    def _receive(self, frame):
        self._link.handle(frame)


class CountingCodec:
    """Count the bytes of the frames that a watcher encodes and decodes.

    Parameters
    ----------
    watcher : LightWatcher
    """

    def __init__(self, watcher):
        self._watcher = watcher

    def encode(self, frame: Frame):
        """Return a frame's bytes, counted."""
        data = NODE_CODEC.encode(frame)
        self._watcher.frame_bytes += len(data) + LENGTH_BYTES
        return data

    def decode(self, data):
        """Return the frame that the bytes hold, counted."""
        self._watcher.frame_bytes += len(data) + LENGTH_BYTES
        return NODE_CODEC.decode(data)
