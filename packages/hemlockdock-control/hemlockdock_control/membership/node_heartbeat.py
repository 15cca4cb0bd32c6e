"""Define the heartbeat record that members exchange."""

import msgspec

from hemlockdock_core.messages import ModelTraffic
from hemlockdock_core.node_info import NodeInfo


class NodeHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Describe the latest heartbeat of a node.

    Attributes
    ----------
    node_id : str
    incarnation : int
    sequence : int
    age_ms : int
        Time since the heartbeat was received, in milliseconds.
    table_revision : int
    leaving : bool
    info : NodeInfo or None
        None if the node did not send it to this member.
    loads : list of ModelTraffic
    """

    node_id: str
    incarnation: int
    sequence: int
    age_ms: int
    table_revision: int
    leaving: bool
    info: NodeInfo | None
    loads: list[ModelTraffic]
