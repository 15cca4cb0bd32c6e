"""Heartbeats, which renew a node's membership and report its load."""

from typing import ClassVar

from hemlockdock_core.messages.message import Message
from hemlockdock_core.messages.wish import ModelTraffic
from hemlockdock_core.node_info import NodeInfo


class Heartbeat(Message, frozen=True):
    """Heartbeat of a node's process. Sent by a node to control.

    Attributes
    ----------
    sequence : int
        Increases by one with each heartbeat of the incarnation.
    table_epoch : int
        Epoch of the node's routing table; 0 if it has none.
    table_revision : int
        Revision of the routing table that the node uses.
    leaving : bool
        Whether the node no longer accepts new work.
    info : NodeInfo or None
        Sent with the first heartbeats, until acknowledged.
    loads : list of ModelTraffic
        Loads that changed since the last acknowledged heartbeat.
    """

    sequence: int
    table_epoch: int
    table_revision: int
    leaving: bool = False
    info: NodeInfo | None = None
    loads: list[ModelTraffic] = []


class HeartbeatAck(Message, frozen=True):
    """Acknowledgement of a heartbeat. Sent by control to a node.

    Attributes
    ----------
    sequence : int
    table_revision : int
        Latest revision of the routing table at this member.
    known : bool
        Whether the member has the node's info; if not, the node sends it again.
    fresh : bool
        Whether the member heard from a leader within its lease.
    members : list of str
        Addresses of all members' mailboxes for nodes, unless the settings define them.
    leader_address : str
        Address of the leader's mailbox for nodes; empty if not given.
    entries : int
        Number of live entries; 0 if not given.
    keeps_stream_origins : bool
        Whether the member understands the messages about where streams began.
    issues_permits : bool
        Whether the member is the leader and issues permits for endpoints with a limit.
    capacity_ratio : float
        Capacity of the entry in relation to the mean of the live entries, so that its share of a
        total is ``capacity_ratio / entries``; 0 if not given.
    """

    expects_answer: ClassVar[bool] = False

    sequence: int
    table_revision: int
    known: bool
    fresh: bool
    members: list[str] = []
    leader_address: str = ""
    entries: int = 0
    keeps_stream_origins: bool = False
    issues_permits: bool = False
    capacity_ratio: float = 0.0
