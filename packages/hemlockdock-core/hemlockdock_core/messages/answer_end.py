"""End an answer."""

from hemlockdock_core.messages.message import Message


class AnswerEnd(Message, frozen=True):
    """End a whole answer. Agent to entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    length : int
        Bytes of the whole body.
    """

    request_id: str
    attempt: int
    length: int
