"""Wrap each message with who sent it."""

from typing import Any

import msgspec

PROTOCOL_VERSION = 1


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Wrap one message on the wire.

    Attributes
    ----------
    version : int
        ``PROTOCOL_VERSION`` of the sender.
    sender : str
        Node id.
    incarnation : int
        Incarnation number of the sending process.
    reply_to : str
        Address of the sender's mailbox; empty where no reply is wanted.
    body : Message
    """

    version: int
    sender: str
    incarnation: int
    reply_to: str
    body: Any
