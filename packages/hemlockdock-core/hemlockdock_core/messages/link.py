"""Messages that the transports of two processes exchange about their connections."""

from typing import ClassVar

from hemlockdock_core.messages.message import Message


class LinkProbe(Message, frozen=True):
    """Asks for a `LinkAck` at once. Sent by a process that waits for an answer.

    Attributes
    ----------
    probe : int
        Number that the answer repeats.
    renewed : bool
        Whether the connection on which it arrives replaces one without answers. The receiver then
        replaces its own connection to the sender, too.
    """

    expects_answer: ClassVar[bool] = False

    probe: int
    renewed: bool


class LinkAck(Message, frozen=True):
    """Answers a `LinkProbe`.

    Attributes
    ----------
    probe : int
    """

    expects_answer: ClassVar[bool] = False

    probe: int


LinkMessage = LinkProbe | LinkAck
