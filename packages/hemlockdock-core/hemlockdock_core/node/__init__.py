"""Connect a node to control: heartbeats, the routing table and proposals."""

from hemlockdock_core.node.control_link import ControlLink
from hemlockdock_core.node.control_unavailable import ControlUnavailableError
from hemlockdock_core.node.load_counts import LoadCounts
from hemlockdock_core.node.local_node import local_node_info, open_local_transport
from hemlockdock_core.node.member_selector import MemberSelector
from hemlockdock_core.node.proposal_tracker import ProposalTracker
from hemlockdock_core.node.table_copy import TableCopy

__all__ = [
    "ControlLink",
    "ControlUnavailableError",
    "LoadCounts",
    "MemberSelector",
    "ProposalTracker",
    "TableCopy",
    "local_node_info",
    "open_local_transport",
]
