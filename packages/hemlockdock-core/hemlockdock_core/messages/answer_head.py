"""Start an answer."""

from hemlockdock_core.messages.message import Message


class AnswerHead(Message, frozen=True):
    """Start an answer. Agent to entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    status : int
        HTTP status of the engine.
    content_type : str
    """

    request_id: str
    attempt: int
    status: int
    content_type: str
