"""Message that starts a response."""

from hemlockdock_core.messages.message import Message


class AnswerHead(Message, frozen=True):
    """The status and content type of a response. Sent by an agent to an entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    status : int
        HTTP status code that the engine returned.
    content_type : str
    """

    request_id: str
    attempt: int
    status: int
    content_type: str
