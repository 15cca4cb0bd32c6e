"""Base class of all messages."""

from typing import ClassVar

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages, encoded as an array whose first item is the class name.

    Attributes
    ----------
    expects_answer : bool
        Whether a connection that does not deliver the message has to be renewed at once. It is
        false for answers, and for what nodes and members send beside heartbeats: the process that
        asked, or the next heartbeat, notices a connection that delivers nothing.
    """

    expects_answer: ClassVar[bool] = True
