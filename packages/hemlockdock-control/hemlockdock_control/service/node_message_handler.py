"""Handle messages from nodes on any member."""

import logging
from dataclasses import dataclass
from functools import singledispatchmethod

from hemlockdock_control.membership import NodeHeartbeat
from hemlockdock_control.service.node_checks import frame_problem
from hemlockdock_control.service.node_proposals import NodeProposals
from hemlockdock_control.service.peer_messages import (
    BeatDigest,
    Relayed,
    RelayedMessage,
    encode_peer,
)
from hemlockdock_core.commands import (
    ClaimJob,
    ClaimRun,
    FinishJob,
    FinishRun,
    ReadJob,
    SubmitJob,
)
from hemlockdock_core.messages import (
    Heartbeat,
    HeartbeatAck,
    Inventory,
    Proposal,
    WatchTable,
)
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

# Nodes may propose only these; decisions are left to control members and operators.
PROPOSABLE = (ClaimRun, FinishRun, SubmitJob, ClaimJob, FinishJob, ReadJob)
ENTRY = "entry"
# Agents repeat their inventory; an unchanged one is relayed to the leader less often.
INVENTORY_REPEAT_MS = 10_000


@dataclass(frozen=True, slots=True)
class CachedInventory:
    """Hold an agent's latest inventory.

    Attributes
    ----------
    incarnation : int
    inventory : Inventory
    relayed_ms : float
        When it was last relayed to the leader, by the silence clock.
    """

    incarnation: int
    inventory: Inventory
    relayed_ms: float


class NodeMessageHandler:
    """Handle messages from nodes, received directly or relayed by another member.

    Parameters
    ----------
    replicator : Replicator
    machine : ClusterStateMachine
    proposer : Proposer
    volatile_state : VolatileState
    feed : TableFeed
    leader_contact : LeaderContact
    clock : SilenceClock
    wall_ms : callable
    send : callable
        Takes an address and a message.
    leader_handler : LeaderMessageHandler
    """

    def __init__(
        self,
        replicator,
        machine,
        proposer,
        volatile_state,
        feed,
        leader_contact,
        clock,
        wall_ms,
        send,
        leader_handler,
    ):
        self._replicator = replicator
        self._machine = machine
        self._volatile_state = volatile_state
        self._feed = feed
        self._leader_contact = leader_contact
        self._clock = clock
        self._wall_ms = wall_ms
        self._send = send
        self._leader_handler = leader_handler
        self._inventory_by_id = {}
        self._proposals = NodeProposals(proposer, send, PROPOSABLE)

    def on_frame(self, frame):
        """Validate and handle a frame from a node.

        Parameters
        ----------
        frame : Frame
        """
        problem = frame_problem(frame)
        if problem:
            COUNTERS.increment("control_bad_messages", message=type(frame.body).__name__)
            logger.warning("invalid message", extra={"sender": frame.sender, "problem": problem})
            return
        self._on_message(frame.body, frame)

    def on_relayed(self, message):
        """Handle, as the leader, a message that another member relayed.

        Parameters
        ----------
        message : RelayedMessage
        """
        self._leader_handler.handle(message.body, message.sender, message.incarnation)

    def on_digest(self, member_id, heartbeats):
        """Record, as the leader, the heartbeats that another member received.

        Parameters
        ----------
        member_id : str
        heartbeats : list of NodeHeartbeat
        """
        now_ms = self._clock.now_ms()
        self._volatile_state.digest_ms_by_member[member_id] = now_ms
        for heartbeat in heartbeats:
            self._record(heartbeat, now_ms, member_id)

    def resend_heartbeats(self):
        """Include every known heartbeat in the next digest."""
        self._volatile_state.heartbeats.mark_all_unsent()

    def send_digest(self):
        """Send new heartbeats to the leader; an empty digest still tests the connection."""
        heartbeats = self._volatile_state.heartbeats.take_digest(self._clock.now_ms())
        if not self._replicator.is_leader:
            digest = BeatDigest(self._leader_contact.next_sequence(), heartbeats)
            self._replicator.forwards.send_to_leader(encode_peer(digest))

    def resend_all_to_leader(self):
        """Send a new leader all heartbeats and inventories that this member holds."""
        self._volatile_state.heartbeats.mark_all_unsent()
        for sender, kept in self._inventory_by_id.items():
            self._relay(kept.inventory, sender, kept.incarnation)

    def remove_silent(self, now_ms, silent_ms):
        """Remove the data of nodes that were not heard for a given time.

        Parameters
        ----------
        now_ms, silent_ms : float
        """
        silent_ids = set(self._volatile_state.heartbeats.remove_silent(now_ms, silent_ms))
        for node_id in silent_ids:
            self._inventory_by_id.pop(node_id, None)
            self._volatile_state.report_by_id.pop(node_id, None)
            self._volatile_state.load_tracker.forget_node(node_id)

    @singledispatchmethod
    def _on_message(self, body, frame):
        COUNTERS.increment("control_unexpected_messages", message=type(body).__name__)

    @_on_message.register
    def _(self, body: Heartbeat, frame):
        now_ms = self._clock.now_ms()
        heartbeat = NodeHeartbeat(
            frame.sender,
            frame.incarnation,
            body.sequence,
            0,
            body.table_revision,
            body.leaving,
            body.info,
            body.loads,
        )
        self._record(heartbeat, now_ms)
        self._feed.touch(frame.reply_to, now_ms)
        if not frame.reply_to:
            return
        if not self._leader_contact.fresh:
            # Without an answer, the node moves to a member that reaches the leader.
            COUNTERS.increment("control_heartbeats_unanswered")
            return
        known = self._is_registered(frame.sender, frame.incarnation)
        revision = self._machine.state.changes.revision
        self._send(frame.reply_to, HeartbeatAck(body.sequence, revision, known, fresh=True))

    @_on_message.register
    def _(self, body: WatchTable, frame):
        added = self._feed.watch(frame.sender, frame.reply_to, body, self._clock.now_ms())
        if added and self._replicator.is_caught_up:
            self._feed.push(self._machine.state.epoch, self._machine.state.changes)

    @_on_message.register
    def _(self, body: Proposal, frame):
        self._proposals.on_proposal(body, frame.reply_to)

    @_on_message.register
    def _(self, body: Relayed, frame):
        if isinstance(body, Inventory) and not self._cache_inventory(body, frame):
            return
        self._relay(body, frame.sender, frame.incarnation)

    def _relay(self, body, sender, incarnation):
        if self._replicator.is_leader:
            self._leader_handler.handle(body, sender, incarnation)
            return
        message = RelayedMessage(sender, incarnation, body)
        if not self._replicator.forwards.send_to_leader(encode_peer(message)):
            COUNTERS.increment("control_relays_without_leader")

    def _record(self, heartbeat, now_ms, relayed_by=""):
        heard = self._volatile_state.heartbeats.record(heartbeat, now_ms, relayed_by)
        if heard is None or not self._replicator.is_leader:
            return
        if heartbeat.loads:
            from_entry = heard.info is not None and heard.info.role == ENTRY
            self._volatile_state.load_tracker.record_loads(
                heard, heartbeat.loads, self._wall_ms(), from_entry
            )

    def _cache_inventory(self, inventory, frame):
        """Cache an inventory for new leaders, and tell whether to relay it now."""
        now_ms = self._clock.now_ms()
        kept = self._inventory_by_id.get(frame.sender)
        if kept is not None and frame.incarnation < kept.incarnation:
            return False
        known = kept is not None and (kept.incarnation, kept.inventory) == (
            frame.incarnation,
            inventory,
        )
        if known and now_ms - kept.relayed_ms < INVENTORY_REPEAT_MS:
            return self._replicator.is_leader
        kept = CachedInventory(frame.incarnation, inventory, now_ms)
        self._inventory_by_id[frame.sender] = kept
        return True

    def _is_registered(self, node_id, incarnation):
        record = self._machine.state.nodes.record_by_id.get(node_id)
        if record is None or record.incarnation != incarnation or record.lost:
            return False
        return record.info.role == ENTRY or record.inventoried
