"""Connect a node to control: heartbeats, the routing table and proposals."""

from hemlockdock_core.node.control_link import ControlLink
from hemlockdock_core.node.control_unavailable import ControlUnavailableError
from hemlockdock_core.node.load_counts import LoadCounts
from hemlockdock_core.node.member_selector import MemberSelector
from hemlockdock_core.node.own_node import own_info, own_transport
from hemlockdock_core.node.pending_proposals import PendingProposals
from hemlockdock_core.node.table_copy import TableCopy

__all__ = [
    "ControlLink",
    "ControlUnavailableError",
    "LoadCounts",
    "MemberSelector",
    "PendingProposals",
    "TableCopy",
    "own_info",
    "own_transport",
]
