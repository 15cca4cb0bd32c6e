"""Message that announces that a node is leaving."""

from hemlockdock_core.messages.message import Message


class Leaving(Message, frozen=True):
    """Notice that an agent accepts no new work. Sent by an agent to entries and control.

    Attributes
    ----------
    node_id : str
    """

    node_id: str
