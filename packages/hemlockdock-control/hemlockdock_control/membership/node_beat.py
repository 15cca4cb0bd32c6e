"""Carry what one member last heard from one node."""

import msgspec

from hemlockdock_core.messages import ModelLoad
from hemlockdock_core.node_info import NodeInfo


class NodeBeat(msgspec.Struct, frozen=True, array_like=True):
    """Describe the latest heartbeat of a node.

    Attributes
    ----------
    node_id : str
    incarnation : int
    sequence : int
    age_ms : int
        Time since it was received, in milliseconds.
    table_revision : int
    leaving : bool
    info : NodeInfo or None
        None where the node did not send it to this member.
    loads : list of ModelLoad
    """

    node_id: str
    incarnation: int
    sequence: int
    age_ms: int
    table_revision: int
    leaving: bool
    info: NodeInfo | None
    loads: list[ModelLoad]
