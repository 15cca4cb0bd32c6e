"""Announce that a node leaves."""

from hemlockdock_core.messages.message import Message


class Leaving(Message, frozen=True):
    """Announce that an agent takes no new work. Agent to entries and control.

    Attributes
    ----------
    node_id : str
    """

    node_id: str
