"""Envelope of messages between processes."""

from typing import Any

import msgspec

PROTOCOL_VERSION = 1


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Envelope of one message, with its sender.

    Attributes
    ----------
    version : int
        ``PROTOCOL_VERSION`` of the sender.
    sender : str
        Node id.
    incarnation : int
        Incarnation number of the sending process.
    reply_to : str
        Address of the sender's mailbox; empty if no reply is expected.
    body : Message
    number : int
        Number of this frame; 0 from a software version that does not number its frames.
    received : int
        Number of the receiver's last frame that the sender has received; 0 for none.
    """

    version: int
    sender: str
    incarnation: int
    reply_to: str
    body: Any
    number: int = 0
    received: int = 0
