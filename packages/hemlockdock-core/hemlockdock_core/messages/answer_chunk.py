"""Message with a part of a response body."""

from hemlockdock_core.messages.message import Message


class AnswerChunk(Message, frozen=True):
    """A part of a response body. Sent by an agent to an entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    offset : int
        Position of this part in the body, in bytes.
    data : bytes
    """

    request_id: str
    attempt: int
    offset: int
    data: bytes
