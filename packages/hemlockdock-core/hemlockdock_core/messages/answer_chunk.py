"""Carry a part of an answer."""

from hemlockdock_core.messages.message import Message


class AnswerChunk(Message, frozen=True):
    """Carry a part of an answer. Agent to entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    offset : int
        Bytes of the answer's body before this part.
    data : bytes
    """

    request_id: str
    attempt: int
    offset: int
    data: bytes
