"""Messages that the transports of two processes exchange about their connections."""

from typing import ClassVar

from hemlockdock_core.messages.message import Message


class LinkProbe(Message, frozen=True):
    """Asks for a `LinkAck` at once. Sent by a process that waits for an answer.

    Attributes
    ----------
    probe : int
        Number that the answer repeats.
    renew : bool
        Whether the receiver has to replace its own connection to the sender, as the sender has
        replaced its one and has heard nothing meanwhile.
    """

    expects_answer: ClassVar[bool] = False

    probe: int
    renew: bool


class LinkAck(Message, frozen=True):
    """Answers a `LinkProbe`.

    Attributes
    ----------
    probe : int
    """

    expects_answer: ClassVar[bool] = False

    probe: int


LinkMessage = LinkProbe | LinkAck
