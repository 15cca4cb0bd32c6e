"""Message that ends a response."""

from hemlockdock_core.messages.message import Message


class AnswerEnd(Message, frozen=True):
    """The end of a complete response. Sent by an agent to an entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    length : int
        Length of the whole body, in bytes.
    """

    request_id: str
    attempt: int
    length: int
