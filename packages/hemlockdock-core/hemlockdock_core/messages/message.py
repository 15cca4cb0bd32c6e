"""Base class of all messages."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages, encoded as an array whose first item is the class name."""
